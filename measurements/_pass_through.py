"""Runs a minimal aiohttp proxy, the baseline for the cost of a request."""

import argparse
import asyncio

import aiohttp
from aiohttp import web

__all__ = ["main"]

CONNECTIONS = 2_048


async def serve(listen, upstream):
    """Forward every request to one upstream until the process is stopped."""
    connector = aiohttp.TCPConnector(limit=CONNECTIONS)
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )

    async def handle(request):
        body = await request.read()
        headers = {
            name: value
            for name, value in request.headers.items()
            if name in ("Content-Type", "X-Request-Id", "X-Deadline-Ms")
        }
        url = f"http://{upstream}{request.path_qs}"
        async with session.request(
            request.method, url, data=body, headers=headers
        ) as response:
            response_body = await response.read()
            return web.Response(
                body=response_body,
                status=response.status,
                headers={"Content-Type": response.headers["Content-Type"]},
            )

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", handle)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, _, port = listen.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    print("ready", flush=True)
    await asyncio.Event().wait()


def main():
    """Run the proxy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--upstream", required=True)
    options = parser.parse_args()
    asyncio.run(serve(options.listen, options.upstream))


if __name__ == "__main__":
    main()
