"""Framing of heads and chunks that come whole, in pieces or malformed."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiascale.ingress import ChunkDecoder, Framing, FramingError, read_framing
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

HEADS = (
    ("no body", b"", Framing()),
    ("a length", b"CONTENT-length:\t12 \r\n", Framing(length=12)),
    ("chunks", b"Transfer-Encoding: Chunked\r\n", Framing(chunked=True)),
    ("identity", b"Content-Encoding: identity\r\n", Framing()),
    (
        "compressed",
        b"Content-Length: 3\r\nContent-Encoding: gzip\r\n",
        Framing(length=3, encoded=True),
    ),
    ("a name within a value", b"X: content-length: 4\r\n", Framing()),
    (
        "encodings of the answer",
        b"Accept-Encoding: gzip\r\nContent-Length: 3\r\n",
        Framing(length=3),
    ),
)
AMBIGUOUS = (
    b"Content-Length: 1\r\nContent-Length: 1\r\n",
    b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    b"Content-Length: -1\r\n",
    b"Content-Length: 1_0\r\n",
    b"Content-Length:\r\n 5\r\n",
    b"Content-Length: 9999999999999999999\r\n",
)
MALFORMED_CHUNKS = (
    b"x\r\n",
    b"\r\n",
    b"-1\r\n",
    b"1\nx",
    b"1 2\r\n",
    b"1\r\nabc\r\n",
    b"1;" + b"e" * 2_000,
    b"1\r\np\r\n" * 40_000,
)


def decode(data, cuts):
    """Return what is decoded of data that arrives in pieces, and what is left."""
    decoder, decoded, position = ChunkDecoder(), b"", 0
    for end in [*sorted(cuts), len(data)]:
        part, used = decoder.feed(data[position:end])
        decoded += part
        if decoder.done:
            return decoded, data[position + used :]
        assert used == len(data[position:end])
        position = end
    return decoded, None


def test_each_kind_of_body_is_recognized():
    for name, fields, framing in HEADS:
        head = b"POST / HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"
        assert read_framing(head) == framing, name


def test_an_ambiguous_length_is_refused():
    for fields in AMBIGUOUS:
        try:
            read_framing(b"POST / HTTP/1.1\r\n" + fields + b"\r\n")
        except FramingError:
            continue
        raise AssertionError(fields)


@settings(derandomize=True, deadline=None)
@given(st.data())
def test_chunks_are_decoded_wherever_they_are_cut(data):
    parts = data.draw(st.lists(st.binary(min_size=1, max_size=40), max_size=8))
    wire = b"".join(b"%x;e=1\r\n%b\r\n" % (len(part), part) for part in parts)
    wire += b"0\r\nX-Trailer: 1\r\n\r\nGET /next"
    cuts = data.draw(st.lists(st.integers(0, len(wire) - 9), max_size=12))
    decoded, rest = decode(wire, cuts)
    assert decoded == b"".join(parts)
    assert rest == b"GET /next"


def test_malformed_and_tiny_chunks_are_refused():
    for wire in MALFORMED_CHUNKS:
        try:
            decode(wire, range(0, len(wire), 7))
        except FramingError:
            continue
        raise AssertionError(wire[:20])


def test_a_body_in_small_lines_is_served():
    line = b"14\r\n" + b"l" * 20 + b"\r\n"
    decoded, rest = decode(line * 10_000 + b"0\r\n\r\n", ())
    assert len(decoded) == 200_000
    assert rest == b""
