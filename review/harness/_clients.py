"""Stand-in of a client of the system."""

import aiohttp

from review.harness._site import HOST

__all__ = ["Client"]

DEADLINE_S = 3.0


class Client:
    """Sends requests to processes of the system.

    Parameters
    ----------
    record : Record
        Where requests and answers are noted.
    """

    def __init__(self, record):
        self.record = record
        self._session = aiohttp.ClientSession()

    async def close(self):
        """Close all connections."""
        await self._session.close()

    async def submit(self, node, path, steps, spec, **fields):
        """Submit a job; return the status, or None without an answer."""
        body = {"spec": spec, "steps": steps, **fields}
        status, _ = await self._send(node, "POST", path, body)
        return status

    async def ask_state(self, node, path):
        """Return the status and the state of a job."""
        status, answer = await self._send(node, "GET", path)
        return status, (answer or {}).get("state")

    async def cancel(self, node, path):
        """Cancel a job; return the status."""
        status, _ = await self._send(node, "DELETE", path)
        return status

    async def _send(self, node, method, path, body=None):
        status, answer = None, None
        sent_s = self.record.now_s()
        try:
            async with self._session.request(
                method,
                f"http://{node.front}{path}",
                json=body,
                headers={"Host": HOST, "Deadline-Ms": "3000"},
                timeout=aiohttp.ClientTimeout(DEADLINE_S),
            ) as response:
                status = response.status
                if response.content_type == "application/json":
                    answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer = {"error": type(error).__name__}
        self.record.note(
            f"client: {method} {path} at {node.name}, sent at {sent_s:.3f}:"
            f" {status} {answer or ''}"
        )
        return status, answer
