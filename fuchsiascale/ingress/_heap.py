"""Return of free memory to the system after a burst of large requests."""

import ctypes

__all__ = ["find_trim"]


def find_trim():
    """Return the C library's function that releases free memory, or None.

    Only glibc has it. It keeps memory that was freed between blocks still in use, so
    a burst of bodies would leave the process at its peak.
    """
    try:
        trim = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return None
    trim.argtypes = [ctypes.c_size_t]
    return lambda: trim(0)
