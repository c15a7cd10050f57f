"""Tests of the commands against the daemon's operator routes on loopback."""

import asyncio
import json
import random
import tempfile
import threading
import types
from pathlib import Path

import aiohttp
import logbook
import msgspec
from aiohttp import web
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from fuchsiascale.cli._application import run
from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    ConfirmReply,
    DocumentReplica,
    EditRequest,
    Member,
    Membership,
)
from fuchsiascale.daemon._access import Access, hash_token, require_operator_token
from fuchsiascale.daemon._http import APPLICATION_KEY
from fuchsiascale.daemon._operator import BASE
from fuchsiascale.daemon._routes import OPERATOR_ROUTES
from fuchsiascale.daemon._settings import AccessSettings, OperatorToken
from fuchsiascale.platform.tests.fakes import FakeTables
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

DOCUMENT = """
[team admin]
team = admin
[team hub]
team = admin
[team ledger]
team = admin
token_sha256 = {digest}
[service aula-hub]
team = hub
[kind review]
team = hub
""".format(digest="5" * 64)


class Daemon:
    """Serves the operator routes over an in-memory document, from a thread."""

    def __init__(self):
        self.tables = FakeTables()
        self.refusals = []
        self.missing = ()
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self._runner = None
        self.url = self.await_result(self._serve())

    def await_result(self, coroutine):
        """Run a coroutine in the thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def stop(self):
        """Stop serving."""
        self.await_result(self._runner.cleanup())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    async def _serve(self):
        member = Member(
            instance="porto-1", address="-", failure_domain="porto", region="norte"
        )
        clock = ManualClock()
        membership = Membership(member, clock, random.Random(3))
        documents = DocumentReplica(
            "porto-1", self.tables, None, clock, random.Random(4)
        )
        await documents.edit(EditRequest(text=DOCUMENT), "admin", admin=True)
        application = types.SimpleNamespace(
            documents=documents,
            membership=membership,
            membership_driver=self,
            settings=types.SimpleNamespace(instance="porto-1", failure_domain="porto"),
            request_pipeline=types.SimpleNamespace(in_flight=0),
            shards=types.SimpleNamespace(digests=tuple),
            is_ready=documents.ready,
            stopping=False,
            log=logbook.Logger("test", level=logbook.CRITICAL),
        )
        operators = tuple(
            OperatorToken(team=team, sha256=hash_token(f"{team}-token"))
            for team in ("admin", "hub")
        )
        settings = AccessSettings(peer_token="-", admin="admin", operators=operators)
        check = require_operator_token(
            Access(settings, documents.fleet), self.refusals.append
        )
        self.documents = documents
        served = web.Application(middlewares=[check])
        served[APPLICATION_KEY] = application
        OPERATOR_ROUTES.add_to(served)
        self._runner = web.AppRunner(served)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}"

    def announce(self, everywhere):
        """Take the announcement of an accepted edit."""

    async def confirm(self, revision):
        """Answer as the driver does, with what the test sets."""
        return ConfirmReply(
            revision=revision, confirmed=("porto-1",), missing=self.missing
        )


@fixture
def daemon():
    server = Daemon()
    try:
        yield server
    finally:
        server.stop()


@fixture
def folder():
    with tempfile.TemporaryDirectory() as path:
        yield Path(path)


def call(daemon, *words, team="hub"):
    """Run one command line; return exit code, output and error output."""
    output, errors = BufferedOutput(), BufferedOutput()
    connection = ["--operator", daemon.url, "--token", f"{team}-token"]
    code = run(ArgvInput(["fuchsiascale", *words, *connection]), output, errors)
    return code, output.fetch(), errors.fetch()


def test_show_then_apply_changes_only_the_edited_section(daemon, folder):
    code, text, _ = call(daemon, "config", "show", "kind review")
    assert code == 0
    path = folder / "review.ini"
    path.write_text(f"{text}max_failures = 7\n")
    assert call(daemon, "config", "apply", str(path))[1] == "accepted as revision 2\n"
    assert daemon.documents.fleet().kinds["review"].max_failures == 7
    code, text, _ = call(daemon, "config", "history", "--json")
    entries = json.loads(text)["entries"]
    assert [entry["revision"] for entry in entries] == [2, 1]
    assert [section["name"] for section in entries[0]["sections"]] == ["kind review"]


def test_applying_a_text_read_before_another_edit_is_a_conflict(daemon, folder):
    path = folder / "review.ini"
    path.write_text(
        call(daemon, "config", "show", "kind review")[1] + "evictable = no\n"
    )
    assert call(daemon, "config", "edit", "kind review", "max_failures=9")[0] == 0
    code, _, errors = call(daemon, "config", "apply", str(path))
    assert code == 4
    assert "revision 1" in errors
    assert "revision 2" in errors
    assert daemon.documents.fleet().kinds["review"].evictable


def test_edit_creates_sets_unsets_and_removes(daemon):
    code, _, errors = call(daemon, "config", "edit", "kind new", "max_failures=9")
    assert code == 2
    assert "team" in errors
    assert (
        call(daemon, "config", "edit", "kind new", "team=hub", "evictable=no")[0] == 0
    )
    assert not daemon.documents.fleet().kinds["new"].evictable
    assert call(daemon, "config", "edit", "kind new", "--unset", "evictable")[0] == 0
    assert daemon.documents.fleet().kinds["new"].evictable
    removed = call(daemon, "config", "edit", "kind review", "--remove", "kind new")
    assert removed[0] == 0
    assert "new" not in daemon.documents.fleet().kinds


def test_only_the_admin_team_sees_the_token_digests_of_others(daemon):
    assert "5" * 64 in call(daemon, "config", "show", team="admin")[1]
    for words in (("config", "show"), ("config", "history", "--json")):
        assert "5" * 64 not in call(daemon, *words)[1]


def test_wait_prints_which_instances_confirmed(daemon):
    words = ("config", "edit", "kind review", "max_failures=9", "--wait")
    code, text, _ = call(daemon, *words, "--wait-seconds", "0")
    assert (code, "confirmed: porto-1" in text) == (0, True)
    daemon.missing = ("faro-1",)
    code, text, errors = call(daemon, *words, "--wait-seconds", "0")
    assert code == 6
    assert "not confirmed: faro-1" in errors


def test_status_and_instances_as_table_and_json(daemon):
    code, text, _ = call(daemon, "status")
    assert code == 0
    assert "porto-1" in text
    code, text, _ = call(daemon, "instance", "list", "--json")
    assert json.loads(text)["instances"][0]["revision"] == 0
    assert call(daemon, "config", "history")[0] == 0


def test_invalid_input_is_reported_and_changes_nothing(daemon, folder):
    files = {
        "malformed.ini": "[kind review\n",
        "unknown.ini": "[drawer x]\nteam = hub\n",
        "foreign.ini": "[team hub]\nteam = hub\nweight = 9\n",
        "size.ini": "[kind review]\nteam = hub\nmax_failures = 1000000\n",
        "key.ini": "[kind review]\nteam = hub\nfailures = 1\n",
        "twice.ini": "[kind review]\nteam = hub\n[kind review]\nteam = hub\n",
        "spaced.ini": "[kind review]\nteam = hub\n[kind  review]\nteam = hub\n",
        "orphan.ini": "[kind review]\nteam = nobody\n",
        "reserve.ini": "[service aula-hub]\nteam = hub\nreserve_memory_mb = -1\n",
    }
    for name, text in files.items():
        (folder / name).write_text(text)
    table = (
        ("hub", ("config", "apply", "malformed.ini"), 2, "[kind review"),
        ("hub", ("config", "apply", "unknown.ini"), 2, "[drawer x]"),
        ("hub", ("config", "apply", "foreign.ini"), 1, "[team hub]"),
        ("hub", ("config", "apply", "size.ini"), 2, "max_failures: 1000000"),
        ("hub", ("config", "apply", "key.ini"), 2, "failures: unknown key"),
        ("hub", ("config", "apply", "twice.ini"), 2, "kind review"),
        ("hub", ("config", "apply", "spaced.ini"), 2, "[kind review]: stands twice"),
        ("hub", ("config", "edit", "kind review", "--remove", "kind x"), 2, "[kind x]"),
        ("admin", ("config", "apply", "orphan.ini"), 2, "[team nobody]"),
        ("hub", ("config", "apply", "reserve.ini"), 2, "reserve_memory_mb: -1"),
        ("hub", ("config", "apply", "absent.ini"), 2, "absent.ini"),
        ("hub", ("config", "check", "size.ini"), 2, "max_failures"),
        ("hub", ("config", "check", "size.ini", "--against"), 2, "max_failures"),
        ("hub", ("config", "edit", "kind review", "evictable"), 2, "evictable"),
        ("hub", ("config", "show", "kind absent"), 5, "[kind absent]"),
        ("hub", ("config", "history", "--limit", "x"), 2, "--limit"),
        ("hub", ("config", "history", "--limit", "501"), 2, "limit"),
        ("hub", ("instance", "drain", "porto-1"), 1, "team hub"),
        ("admin", ("instance", "drain", "absent-9"), 5, "absent-9"),
        ("wrong", ("config", "show"), 1, "token"),
        ("hub", ("config", "bogus"), 2, "does not exist"),
        ("hub", ("status", "--bogus"), 2, "--bogus"),
        ("hub", ("job", "status", "j"), 2, "--caller"),
        ("hub", ("job", "submit", "j", "--tasks", "x"), 2, "tasks"),
    )
    for team, words, code, expected_text in table:
        arguments = [
            str(folder / word) if word.endswith(".ini") else word for word in words
        ]
        result = call(daemon, *arguments, team=team)
        assert result[0] == code, (words, result)
        assert expected_text in result[2], (words, result)
    assert daemon.refusals == ["operator"]
    assert daemon.documents.revision() == 1


def test_an_unreachable_daemon_is_reported_without_a_traceback(daemon):
    unreachable = types.SimpleNamespace(url="http://127.0.0.1:1")
    code, text, errors = call(unreachable, "status")
    assert code == 3
    assert "can't be reached" in errors
    assert "Traceback" not in text + errors


def test_an_edit_while_the_store_is_down_is_refused(daemon):
    daemon.tables.down = True
    code, _, errors = call(daemon, "config", "edit", "kind review", "max_failures=9")
    assert code == 1
    assert "table service" in errors


def test_a_malformed_body_is_refused_by_the_daemon(daemon):
    async def post():
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"{daemon.url}{BASE}/edits",
                data=b"{",
                headers={"Authorization": "Bearer hub-token"},
            ) as response,
        ):
            return response.status, await response.read()

    status, body = asyncio.run(post())
    assert status == 400
    assert msgspec.json.decode(body)["reason"] == "bad-request"
