"""Tests of the command that explains where a job would start."""

import asyncio
import json
import tempfile
import threading

from aiohttp import web

from fuchsiascale.cli._exits import Exit
from fuchsiascale.cli.tests.test_log_commands import call, write_file
from fuchsiascale.node.tests.test_explain_http import JOB, Served
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)


class Instance:
    """Serves explanations from a thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self._runner = None
        self.address = self._await(self._serve())

    def _await(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    async def _serve(self):
        self.served = Served()
        self._runner = web.AppRunner(self.served.application)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0]
        return f"{host}:{port}"

    def stop(self):
        """Stop serving."""
        self._await(self._runner.cleanup())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()


@fixture
def instance():
    made = Instance()
    yield made
    made.stop()


@fixture
def job_file():
    with tempfile.TemporaryDirectory() as folder:
        yield write_file(folder, "job.json", json.dumps(JOB))


def test_a_job_is_explained_as_a_table_and_as_json(instance, job_file):
    arguments = ("explain", "where", "scan", job_file, "--instance", instance.address)
    code, output, errors = call(*arguments)
    assert code == Exit.OK, errors
    assert "queue scan of service pool at a.example/x/; configuration 7" in output
    assert "admitted" in output
    assert "of 4: none" in output
    code, output, _ = call(*arguments, "--json")
    assert json.loads(output)["placement"]["steps"][0]["start"] == 3


def test_an_owner_without_an_answer_leaves_the_explanation_open(instance, job_file):
    instance.served.has_owner = False
    address = ("--instance", instance.address)
    code, output, errors = call("explain", "where", "scan", job_file, *address)
    assert code == Exit.UNCONFIRMED
    assert "admitted" in output
    assert "the owner gave no answer" in errors


def test_faults_of_the_request_have_their_exit_codes(instance, job_file):
    address = ("--instance", instance.address)
    with tempfile.TemporaryDirectory() as folder:
        torn = write_file(folder, "torn.json", '{"steps": [')
        empty = write_file(folder, "empty.json", '{"steps": []}')
        for arguments, expected in (
            (("scan", job_file), Exit.INVALID),
            (("scan", torn, *address), Exit.INVALID),
            (("scan", empty, *address), Exit.INVALID),
            (("scan", "/nowhere/at/all", *address), Exit.INVALID),
            (("other", job_file, *address), Exit.NOT_FOUND),
            (("scan", job_file, "--instance", "127.0.0.1:9"), Exit.UNREACHABLE),
        ):
            assert call("explain", "where", *arguments)[0] == expected, arguments
