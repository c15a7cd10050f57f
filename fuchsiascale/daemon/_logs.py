"""Log lines in JSON with request, job and trace ids, and without secrets."""

import contextlib
import contextvars
import re
import sys
from datetime import UTC

import logbook
import msgspec

__all__ = ["JsonLinesHandler", "LogIds", "bind_ids", "set_up_logs"]

REDACTED = "[redacted]"
MIN_SECRET_LENGTH = 4
SECRET_PATTERN = re.compile(
    r"(?i)(\bbearer\s+|\b(?:token|password|secret|authorization)[\"']?\s*[=:]\s*[\"']?)"
    r"(?!bearer\b)[^\s\"',;}]+"
)
URL_SECRET_PATTERN = re.compile(r"(://[^/\s:@]+:)[^/\s@]+@")


class LogIds(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Ids added to every line that is written in their scope."""

    request: str = ""
    job: str = ""
    trace: str = ""


class _Line(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One log line."""

    time: str
    level: str
    channel: str
    message: str
    request: str = ""
    job: str = ""
    trace: str = ""
    exception: str = ""


_IDS = contextvars.ContextVar("log_ids", default=LogIds())  # noqa: B039


@contextlib.contextmanager
def bind_ids(**ids):
    """Add ids to every line written within the block, by this task.

    Parameters
    ----------
    **ids : str
        Any of ``request``, ``job`` and ``trace``.
    """
    token = _IDS.set(msgspec.structs.replace(_IDS.get(), **ids))
    try:
        yield
    finally:
        _IDS.reset(token)


class JsonLinesHandler(logbook.StreamHandler):
    """Handler that writes each record as one line of JSON.

    Parameters
    ----------
    stream : file
        Where the lines go.
    level : str
        Lowest level written, by its logbook name.
    secrets : iterable of str
        Texts that must not be written, such as the tokens in use.
    """

    def __init__(self, stream, level="INFO", secrets=()):
        super().__init__(stream, level=level.upper(), bubble=False)
        self._secrets = sorted(
            {secret for secret in secrets if len(secret) >= MIN_SECRET_LENGTH},
            key=len,
            reverse=True,
        )

    def format(self, record):
        """Return the line of a record."""
        ids = _IDS.get()
        extra = {
            name: str(record.extra[name])
            for name in LogIds.__struct_fields__
            if name in record.extra
        }
        ids = msgspec.structs.replace(ids, **extra)
        line = _Line(
            time=record.time.replace(tzinfo=UTC).isoformat(timespec="milliseconds"),
            level=record.level_name.lower(),
            channel=record.channel or "",
            message=self._redact(str(record.message)),
            request=ids.request,
            job=ids.job,
            trace=ids.trace,
            exception=self._redact(record.formatted_exception or ""),
        )
        return msgspec.json.encode(line).decode()

    def _redact(self, text):
        for secret in self._secrets:
            text = text.replace(secret, REDACTED)
        text = SECRET_PATTERN.sub(rf"\g<1>{REDACTED}", text)
        return URL_SECRET_PATTERN.sub(rf"\g<1>{REDACTED}@", text)


def set_up_logs(level, secrets=(), stream=None):
    """Write all log lines of this process as JSON lines.

    Parameters
    ----------
    level : str
        Lowest level written.
    secrets : iterable of str
        Texts that must not be written.
    stream : file, optional
        Where the lines go; the standard error stream by default.

    Returns
    -------
    JsonLinesHandler
        The handler, which ``pop_application`` removes.
    """
    handler = JsonLinesHandler(stream or sys.stderr, level, secrets)
    handler.push_application()
    return handler
