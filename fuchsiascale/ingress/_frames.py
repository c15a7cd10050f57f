"""Sizes of incomplete WebSocket messages.

Load: an outsider at the peers' listener opens many WebSockets and leaves a long message
incomplete on each. aiohttp bounds a message and not their sum.
"""

__all__ = ["FrameFollower"]

FINAL_BIT = 0x80
MASK_BIT = 0x80
OPCODE_BITS = 0x0F
FIRST_CONTROL_OPCODE = 0x8
LENGTH_BITS = 0x7F
EXTENDED = {126: 2, 127: 8}
"""Bytes of an extended length by the short length that announces it."""
MASK_BYTES = 4


class FrameFollower:
    r"""Follows the frames of a connection (RFC 6455, section 5.2).

    Examples
    --------
    >>> follower = FrameFollower()
    >>> follower.feed(b"\x82\x85mask12")
    2
    >>> follower.feed(b"345\x82\x80mask")
    0
    """

    __slots__ = ("_header", "_is_control", "_is_final", "_left", "_size")

    def __init__(self):
        self._header = b""
        self._left = 0
        self._is_final = self._is_control = False
        self._size = 0

    def feed(self, data: bytes) -> int:
        """Return the bytes of the message that is incomplete after some input."""
        position, end = 0, len(data)
        while position < end:
            if self._left:
                count = min(self._left, end - position)
                position += count
                self._left -= count
                if not self._is_control:
                    self._size += count
            else:
                position = self._read_header(data, position)
            is_complete = self._is_final and not self._left and not self._header
            if is_complete and not self._is_control:
                self._size = 0
        return self._size

    def _read_header(self, data, position):
        """Read one byte of a header; return the position after it."""
        self._header += data[position : position + 1]
        header = self._header
        if len(header) < 2:
            return position + 1
        short = header[1] & LENGTH_BITS
        extended = EXTENDED.get(short, 0)
        masked = MASK_BYTES if header[1] & MASK_BIT else 0
        if len(header) == 2 + extended + masked:
            length = header[2 : 2 + extended]
            self._left = int.from_bytes(length, "big") if extended else short
            self._is_final = bool(header[0] & FINAL_BIT)
            self._is_control = header[0] & OPCODE_BITS >= FIRST_CONTROL_OPCODE
            self._header = b""
        return position + 1
