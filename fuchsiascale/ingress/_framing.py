"""Framing of HTTP/1.1 requests: the ends of heads, bodies and chunks.

Load: heads, lines and chunks that never end, chunks of one byte, and heads whose
framing is ambiguous. Only what concerns the framing is read here; the forwarded bytes
are parsed in full by aiohttp, which is as strict or stricter.
"""

import re

import msgspec

__all__ = ["ChunkDecoder", "Framing", "FramingError", "read_framing"]

FIELDS = re.compile(
    rb"\r\n(content-length|transfer-encoding|content-encoding)[ \t]*:[ \t]*([^\r\n]*)",
    re.IGNORECASE,
)
LENGTH = re.compile(rb"[0-9]{1,18}\Z")
CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,16}")
MAX_LINE_BYTES = 1_024
"""Longest line of a chunk's size with its extensions."""
MAX_TRAILER_BYTES = 4_096
FREE_OVERHEAD_BYTES = 4_096
MAX_OVERHEAD_RATIO = 2
"""Bytes of chunk framing for each byte of a body. Chunks of one byte have 5, of two
bytes 2.5. Without a bound, small chunks would cost much more processor time than their
bytes: at 4 and 16 KB free, an ordinary job waited 28 s while 1,200 connections sent
chunks of one byte."""


class FramingError(ValueError):
    """The framing of a request is malformed or ambiguous."""


class Framing(msgspec.Struct, frozen=True):
    """Framing of a request's body.

    Parameters
    ----------
    length : int
        Declared length in bytes; unused if the body is chunked.
    chunked : bool
        Whether the body comes in chunks.
    encoded : bool
        Whether the body is compressed, so that it may be longer than declared.
    """

    length: int = 0
    chunked: bool = False
    encoded: bool = False


NO_BODY = Framing()


def read_framing(head: bytes) -> Framing:
    r"""Return the framing that a complete head declares.

    Raises
    ------
    FramingError
        If it is not exactly one length or exactly ``chunked``.

    Examples
    --------
    >>> read_framing(b"POST / HTTP/1.1\r\nContent-Length: 7\r\n\r\n").length
    7
    >>> read_framing(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n") is NO_BODY
    True
    """
    lower = head.lower()
    lengths = lower.count(b"content-length")
    # Most heads are settled by these searches, which take a tenth of the expression's
    # time.
    if b"transfer-encoding" not in lower and b"content-encoding" not in lower:
        if not lengths:
            return NO_BODY
        _, found, rest = lower.partition(b"\r\ncontent-length:")
        value = rest[: rest.find(b"\r\n")].strip(b" \t")
        if lengths == 1 and found and LENGTH.match(value):
            return Framing(length=int(value))
    return _read_fields(FIELDS.findall(head))


def _read_fields(found):
    fields = {}
    for name, value in found:
        fields.setdefault(name.lower(), []).append(value.strip(b" \t").lower())
    lengths = fields.get(b"content-length", [])
    codings = fields.get(b"transfer-encoding", [])
    encoded = any(value != b"identity" for value in fields.get(b"content-encoding", ()))
    if not lengths and not codings:
        return NO_BODY
    if codings == [b"chunked"] and not lengths:
        return Framing(chunked=True, encoded=encoded)
    if codings or len(lengths) != 1 or not LENGTH.match(lengths[0]):
        raise FramingError("ambiguous length of the body")
    return Framing(length=int(lengths[0]), encoded=encoded)


class ChunkDecoder:
    r"""Decoder of a chunked body, which holds less than one line of its framing.

    Examples
    --------
    >>> decoder = ChunkDecoder()
    >>> decoder.feed(b"3\r\nabc\r\n2\r\nd")
    (b'abcd', 12)
    >>> decoder.feed(b"e\r\n0\r\n\r\nGET")
    (b'e', 8)
    >>> decoder.done
    True
    """

    __slots__ = ("_left", "_line", "_overhead", "_received", "_step", "done")

    def __init__(self):
        self.done = False
        self._line = b""
        self._left = 0
        self._step = self._read_size
        self._overhead = 0
        self._received = 0

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Return the decoded bytes of some input, and how much of it was used.

        Raises
        ------
        FramingError
            If the framing is malformed, or out of proportion to the body.
        """
        parts, position, end = [], 0, len(data)
        while position < end and not self.done:
            if self._left:
                part = data[position : position + self._left]
                self._left -= len(part)
                self._received += len(part)
                position += len(part)
                parts.append(part)
                continue
            stop = data.find(b"\n", position)
            line = data[position : stop + 1 if stop >= 0 else end]
            position += len(line)
            self._count_overhead(len(line))
            if self._line:
                line = self._line + line
            if stop < 0:
                self._line = line
                if len(line) > MAX_LINE_BYTES:
                    raise FramingError("the line of a chunk is too long")
                break
            self._line = b""
            self._step(line)
        return b"".join(parts), position

    def _count_overhead(self, count):
        self._overhead += count
        limit = FREE_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * self._received
        if self._overhead > limit:
            raise FramingError("too many small chunks")

    def _read_size(self, line):
        match = CHUNK_SIZE.match(line)
        rest = line[match.end() :].strip(b" \t\r\n") if match else b"x"
        if (rest and not rest.startswith(b";")) or not line.endswith(b"\r\n"):
            raise FramingError("malformed size of a chunk")
        self._left = int(match.group(), 16)
        self._step = self._read_end if self._left else self._read_trailer

    def _read_end(self, line):
        if line != b"\r\n":
            raise FramingError("a chunk is longer than its size")
        self._step = self._read_size

    def _read_trailer(self, line):
        self._left = 0
        self.done = line == b"\r\n"
