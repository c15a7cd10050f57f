"""Log lines as JSON, one a decision, to standard output.

Writing never blocks: lines wait in a buffer of bounded size, and what a reader that
has stopped reading leaves no room for is left out and counted. So is what passes the
budget of a second, but never a line above the level of information.
"""

import os
from collections import Counter, deque
from datetime import UTC

import logbook
import msgspec

__all__ = ["JsonLineHandler", "LineBuffer", "set_up_json_log"]

MAX_LINES = 8_000
"""Lines that wait for the reader; about 2 MB."""
LINES_PER_S = 400
"""Lines of one message in a second; the rounds of 200 workers write about 100."""
WRITE_BYTES = 65_536


class LineBuffer:
    """Lines on their way to a file descriptor.

    Parameters
    ----------
    descriptor : int
        Where the lines go; it is set to non-blocking.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._lines = deque()
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def add(self, line):
        """Take a line, or leave it out where too many wait."""
        if len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(line)

    def flush(self):
        """Write what the reader takes now; returns whether nothing is left."""
        while self._rest or self._lines:
            while self._lines and len(self._rest) < WRITE_BYTES:
                self._rest += self._lines.popleft().encode() + b"\n"
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone: nobody is left to be told.
                self._lines.clear()
                self._rest = b""
                return True
            self._rest = self._rest[written:]
        return True


class JsonLineHandler(logbook.Handler):
    """Turns each record, with all its extra fields, into one line of JSON.

    Parameters
    ----------
    buffer : LineBuffer
        Where the lines go.
    instance : str
        Name of this instance, which every line carries.
    level : str
        Least level written.
    """

    def __init__(self, buffer, instance, level="INFO"):
        super().__init__(level=level, bubble=False)
        self._buffer = buffer
        self._instance = instance
        self._second = None
        self._counts = Counter()

    def emit(self, record):
        """Write the line of a record, within the budget of its second."""
        if record.level <= logbook.INFO and self._over_budget(record):
            self._buffer.dropped += 1
            return
        self._buffer.add(self._format_line(record))

    def _over_budget(self, record):
        second = record.time.replace(microsecond=0)
        if second != self._second:
            self._second = second
            self._counts.clear()
        self._counts[record.msg] += 1
        return self._counts[record.msg] > LINES_PER_S

    def _format_line(self, record):
        line = {
            "time": record.time.replace(tzinfo=UTC).isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "instance": self._instance,
            "part": record.channel or "",
            "message": str(record.message),
            **record.extra,
        }
        if record.formatted_exception:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode(line, enc_hook=str).decode()


def set_up_json_log(instance, level="INFO", descriptor=1):
    """Write all log lines of this process as JSON lines.

    Returns
    -------
    LineBuffer
        The buffer, to be flushed from time to time.
    """
    buffer = LineBuffer(descriptor)
    JsonLineHandler(buffer, instance, level).push_application()
    return buffer
