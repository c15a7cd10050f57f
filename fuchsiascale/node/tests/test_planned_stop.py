"""Requests under way when a process is asked to stop.

The check guards against answers that are cut off, or never sent, because the listener
closes connections whose requests it has not read to their end.
"""

import asyncio
import signal

from fuchsiascale.node.tests._callers import make_head, make_job, serve_node
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

CONNECTIONS = 20
BODY_BYTES = 40_000
CHUNK_BYTES = 1_000
HANG_S = 60.0


def frame_body(body, number):
    """Return the framing and the bytes of a body, chunked for every other number."""
    if number % 2:
        return f"Content-Length: {len(body)}", body
    chunks = [body[at : at + CHUNK_BYTES] for at in range(0, len(body), CHUNK_BYTES)]
    wire = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return "Transfer-Encoding: chunked", wire + b"0\r\n\r\n"


async def read_status(reader):
    """Return the status of an answer that is complete, and followed by the end."""
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    (length,) = (line[15:] for line in lines if line.startswith(b"content-length:"))
    assert int(length) == len(body), head
    return int(lines[0].split()[1])


async def test_a_body_that_ends_after_the_signal_is_answered():
    body = make_job("p" * BODY_BYTES)
    async with serve_node() as node, asyncio.timeout(HANG_S):
        opened = []
        for number in range(CONNECTIONS):
            reader, writer = await asyncio.open_connection(*node.callers)
            framing, wire = frame_body(body, number)
            writer.write(make_head(100 + number, framing) + wire[: -1 - number * 1_500])
            opened.append((reader, writer, wire[-1 - number * 1_500 :]))
        await node.submit_job(2)
        node.process.send_signal(signal.SIGTERM)
        for _, writer, rest in opened:
            writer.write(rest)
        statuses = [await read_status(reader) for reader, _, _ in opened]
        assert statuses == [200] * CONNECTIONS
        assert await node.process.wait() == 0
        for _, writer, _ in opened:
            writer.close()
