"""Tests of the timeouts of calls to the platform."""

import asyncio

import aiohttp
import msgspec
from aiohttp import web
from aiohttp.test_utils import TestServer
from returns.result import Success

from fuchsiascale.platform import HttpTables
from fuchsiascale.platform._messages import ScanPage
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

TIMEOUT_S = 0.3
PIECES = 10
PIECE_PAUSE_S = 0.05


async def send_in_pieces(request):
    """Send a page whose transfer takes longer than the read timeout."""
    body = msgspec.json.encode(ScanPage(rows=(), next_after="x" * 1000))
    response = web.StreamResponse()
    response.content_length = len(body)
    await response.prepare(request)
    size = -(-len(body) // PIECES)
    for number in range(PIECES):
        await response.write(body[number * size : (number + 1) * size])
        await asyncio.sleep(PIECE_PAUSE_S)
    return response


async def test_a_page_that_arrives_slowly_does_not_time_out():
    application = web.Application()
    application.router.add_get("/v1/rows/jobs", send_in_pieces)
    async with TestServer(application) as server, aiohttp.ClientSession() as session:
        tables = HttpTables(session, str(server.make_url("/")), TIMEOUT_S)
        reply = await tables.scan("jobs", "")
    assert isinstance(reply, Success)
    assert reply.unwrap().next_after == "x" * 1000
