"""Budget of the bytes that a listener holds for heads and bodies.

Load: callers that send many large or endless heads and bodies at the same time, while
ordinary callers send requests of a few hundred bytes.
"""

__all__ = ["Charge", "MemoryBudget"]


class Charge:
    """Bytes that a budget holds for one connection."""

    __slots__ = ("size",)

    def __init__(self):
        self.size = 0


class MemoryBudget:
    """Decides who may hold how many bytes.

    Large holders leave a reserved share to small ones. A large holder is always
    admitted if no other is: a body of legal size is served on the smallest machine.

    Parameters
    ----------
    total_bytes : int
        Bytes that all holders may have together.
    reserved_bytes : int
        Part of them that only small holders may use.
    small_bytes : int
        Largest size of a small holder.

    Examples
    --------
    >>> budget = MemoryBudget(100, 40, 10)
    >>> first, second, small = Charge(), Charge(), Charge()
    >>> budget.resize(first, 60), budget.resize(second, 11), budget.resize(small, 10)
    (True, False, True)
    >>> budget.resize(first, 0), budget.resize(second, 500), budget.held
    (True, True, 510)
    """

    def __init__(self, total_bytes, reserved_bytes, small_bytes):
        self.total = total_bytes
        self.reserved = reserved_bytes
        self.small = small_bytes
        self.held = 0
        self._held_large = 0

    def resize(self, charge, size):
        """Change the bytes of a holder; return False and change nothing if refused.

        A holder can always be made smaller.
        """
        before = charge.size
        held = self.held + size - before
        large_before = before if before > self.small else 0
        large = size if size > self.small else 0
        if size > before and held > self._limit(large, large_before):
            return False
        self.held = held
        self._held_large += large - large_before
        charge.size = size
        return True

    def _limit(self, large, large_before):
        """Return the bytes that may be held if a holder is resized."""
        if not large:
            return self.total
        if self._held_large == large_before:
            return float("inf")
        return self.total - self.reserved
