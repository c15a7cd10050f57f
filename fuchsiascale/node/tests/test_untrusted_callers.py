"""Callers that exceed the limits must not end a process or fill its machine.

Each test starts a real process whose settings describe a small machine, lets many
connections send input of one kind, and checks that the process lives, that its memory
and descriptors stay within the machine, and that an ordinary job is still accepted
while these connections are open. They guard against memory that grows with the input
of callers: heads, bodies and answers had no bound for the process as a whole.
"""

import gzip

from fuchsiascale.node.tests._callers import Crowd, make_head, make_job, serve_node
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

MEMORY_MB = 120
"""Memory of the machine in the settings. The process takes about half of it when idle;
exceeding it would end the process."""
MAX_FDS = 600
"""Descriptors of the machine in the settings."""
CONNECTIONS = 300
IDLE_CONNECTIONS = 800
BODY_BYTES = 262_144
"""The largest body that the configuration allows."""
FIELD = b"x-filler-%04d: " + b"f" * 4_000 + b"\r\n"
DECLARED = f"Content-Length: {BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"


async def check_crowd(make_input, count=CONNECTIONS, listener="callers"):
    """Check a process while connections send input of one kind."""
    async with serve_node(limits__memory_mb=MEMORY_MB, limits__max_fds=MAX_FDS) as node:
        crowd = Crowd(node.usage, getattr(node, listener), count)
        try:
            await crowd.send(make_input)
            await node.submit_job(2)
            node.usage.sample()
            assert node.process.returncode is None
            peak_mb, peak_fds = node.usage.peak_mb, node.usage.peak_fds
        finally:
            crowd.close()
        await node.submit_job(3)
        figures = f"{peak_mb:.0f} MB, {peak_fds} descriptors"
        assert peak_mb <= MEMORY_MB, figures
        assert peak_fds <= MAX_FDS, figures


async def test_heads_over_the_limit():
    head = make_head(7, "X-First: 1")[:-2]
    fields = b"".join(FIELD % number for number in range(64))
    await check_crowd(lambda number: [head, fields, b"\r\n"])


async def test_heads_without_end():
    head = make_head(7, "X-First: 1")[:-2]
    await check_crowd(lambda number: [head, *(FIELD % number for number in range(120))])


async def test_a_header_line_without_end():
    start = make_head(7, "X-Long: ")[:-4]
    piece = b"v" * 16_384
    await check_crowd(lambda number: [start, *[piece] * 64])


async def test_a_request_line_without_end():
    piece = b"p" * 16_384
    await check_crowd(lambda number: [b"GET /press/", *[piece] * 64])


async def test_empty_lines_before_a_request():
    piece = b"\r\n" * 8_192
    await check_crowd(lambda number: [piece] * 64)


async def test_whole_bodies():
    body = make_job("p" * BODY_BYTES)[: BODY_BYTES - 1]
    await check_crowd(lambda number: [make_head(100 + number, DECLARED), body])


async def test_bodies_piece_by_piece():
    body = make_job("p" * BODY_BYTES)[: BODY_BYTES - 1]
    pieces = [body[at : at + 4_096] for at in range(0, len(body), 4_096)]
    await check_crowd(lambda number: [make_head(100 + number, DECLARED), *pieces])


async def test_large_chunks():
    chunk = b"4000\r\n" + b"p" * 16_384 + b"\r\n"
    pieces = [chunk] * 15
    await check_crowd(lambda number: [make_head(100 + number, CHUNKED), *pieces])


async def test_chunks_of_one_byte():
    pieces = [b"1\r\np\r\n" * 2_000] * 10
    await check_crowd(lambda number: [make_head(100 + number, CHUNKED), *pieces])


async def test_a_chunk_extension_without_end():
    pieces = [b"1;e=" + b"e" * 16_384, *[b"e" * 16_384] * 32]
    await check_crowd(lambda number: [make_head(100 + number, CHUNKED), *pieces])


async def test_compressed_bodies_that_expand():
    body = gzip.compress(make_job("p" * 4_000_000), mtime=0)
    framing = f"Content-Encoding: gzip\r\nContent-Length: {len(body)}"
    await check_crowd(lambda number: [make_head(100 + number, framing), body[:-1]])


async def test_legal_heads_whose_bodies_never_come():
    fields = b"".join(b"x-%03d: %s\r\n" % (n, b"f" * 110) for n in range(120))
    start = make_head(100, DECLARED)[:-2]
    await check_crowd(lambda number: [start, fields, b"\r\n"])


async def test_bodies_for_an_unknown_queue():
    body = b"p" * (BODY_BYTES - 1)
    await check_crowd(
        lambda number: [make_head(100 + number, DECLARED, prefix="/none/"), body]
    )


async def test_bodies_with_the_wrong_method():
    body = b"p" * (BODY_BYTES - 1)
    await check_crowd(
        lambda number: [make_head(100 + number, DECLARED, method="PUT"), body]
    )


async def test_idle_connections():
    await check_crowd(lambda number: [], IDLE_CONNECTIONS)


async def test_pipelined_requests_whose_answers_are_not_read():
    request = make_head(1, "X-First: 1", method="GET")
    pieces = [request * 100] * 20
    await check_crowd(lambda number: pieces)


async def test_bodies_to_the_ready_listener():
    body = b"p" * (BODY_BYTES - 1)
    await check_crowd(
        lambda number: [make_head(100 + number, DECLARED, method="GET"), body],
        listener="ready",
    )


async def test_bodies_to_the_peer_listener():
    body = b"p" * (BODY_BYTES - 1)
    head = make_head(100, DECLARED).replace(b"/press/0000000000000064", b"/peer/v2")
    await check_crowd(lambda number: [head, body], listener="peers")
