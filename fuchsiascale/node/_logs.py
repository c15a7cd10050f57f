"""Log lines as JSON, one a decision, to standard output."""

import sys
from datetime import UTC

import logbook
import msgspec

__all__ = ["DecisionLines", "set_up_decision_log"]


class DecisionLines(logbook.StreamHandler):
    """Writes each record, with all its extra fields, as one line of JSON.

    Parameters
    ----------
    stream : file
        Where the lines go.
    instance : str
        Name of this instance, which every line carries.
    level : str
        Least level written.
    """

    def __init__(self, stream, instance, level="INFO"):
        super().__init__(stream, level=level, bubble=False)
        self._instance = instance

    def format(self, record):
        """Return the line of a record."""
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


def set_up_decision_log(instance, level="INFO", stream=None):
    """Write all log lines of this process as JSON lines to standard output."""
    handler = DecisionLines(stream or sys.stdout, instance, level)
    handler.push_application()
    return handler
