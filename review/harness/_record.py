"""Record of what a script sent, got as an answer, and saw running."""

import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Lines with the time since the start of the script, written to a file.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    """

    def __init__(self, folder):
        self._file = open(Path(folder, "record.txt"), "w", encoding="utf-8")  # noqa: SIM115
        self._started_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the script, in seconds."""
        return time.monotonic() - self._started_s

    def note(self, text):
        """Write a line."""
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()
