"""Log lines in JSON on standard output, one for each decision.

Writing never blocks: lines are kept in a bounded buffer. Lines that don't fit in,
because the reader has stopped reading, are dropped and counted. So are lines beyond
the budget of a message in a second, except those above the level INFO.
"""

import os
from collections import Counter, deque
from datetime import UTC

import logbook
import msgspec

__all__ = ["JsonLineHandler", "LineBuffer", "set_up_json_log"]

MAX_LINES = 8_000
"""Capacity of the buffer in lines; about 2 MB."""
LINES_PER_S = 400
"""Lines of one message in a second; rounds for 200 workers write about 100."""
WRITE_BYTES = 65_536


class LineBuffer:
    """Bounded buffer of lines to be written to a file descriptor.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.

    Attributes
    ----------
    dropped : int
        Number of lines that were not written.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._lines = deque()
        self._pending = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def add(self, line):
        """Add a line, or drop it if the buffer is full."""
        if len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(line)

    def flush(self):
        """Write as much as the reader accepts; return whether the buffer is empty."""
        while self._pending or self._lines:
            while self._lines and len(self._pending) < WRITE_BYTES:
                self._pending += self._lines.popleft().encode() + b"\n"
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the pipe, so the lines cannot be delivered.
                self._lines.clear()
                self._pending = b""
                return True
            self._pending = self._pending[written:]
        return True


class JsonLineHandler(logbook.Handler):
    """Formats each log record, with all its extra fields, as one line of JSON.

    Parameters
    ----------
    buffer : LineBuffer
        Buffer that receives the lines.
    instance : str
        Name of this instance, included in every line.
    level : str
        Lowest level written.
    """

    def __init__(self, buffer, instance, level="INFO"):
        super().__init__(level=level, bubble=False)
        self._buffer = buffer
        self._instance = instance
        self._second = None
        self._counts = Counter()

    def emit(self, record):
        """Buffer the line of a record, unless the budget of its second is spent."""
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
    """Write all log records of this process as lines of JSON.

    Returns
    -------
    LineBuffer
        The buffer, which the caller flushes periodically.
    """
    buffer = LineBuffer(descriptor)
    JsonLineHandler(buffer, instance, level).push_application()
    return buffer
