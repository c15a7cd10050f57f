"""Tests of claims through a key's home when calls to it fail."""

import math
from random import Random

import msgspec
from returns.result import Failure, Success

from fuchsiascale.api import KeyClaimReply
from fuchsiascale.coordination import (
    CLAIMS_TABLE,
    ClaimExists,
    ClaimRecord,
    ClaimUnavailable,
    ClusterView,
    KeyClaims,
    Member,
    find_owner,
    format_claim_key,
)
from fuchsiascale.daemon._key_claims import CLAIM_PATH, HomeKeyClaims, answer_claim
from fuchsiascale.daemon._peers import PeerUncertain, PeerUnreachable
from fuchsiascale.platform.tests.fakes import FakeTables
from fuchsiascale.states import Outcome
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

NAMES = ("a", "b")
KEY = "booking-7"
ROW = CLAIMS_TABLE, format_claim_key("schools", KEY)


class Home(msgspec.Struct):
    """Stand-in for the application of the key's home."""

    claims: KeyClaims


class PeerPath:
    """Calls to the home instance, with injected faults."""

    def __init__(self, home):
        self.home = home
        self.fault = ""
        self.delayed = []

    async def call(self, address, path, message, reply_type, timeout_s):
        if self.fault == "cut":
            return Failure(PeerUnreachable("refused"))
        if self.fault == "late":
            self.delayed.append(message)
            return Failure(PeerUncertain("timeout"))
        if path != CLAIM_PATH:
            return Failure(PeerUncertain("timeout"))
        reply = await answer_claim(self.home, message, None)
        if self.fault == "reply lost":
            return Failure(PeerUncertain("timeout"))
        assert isinstance(reply, KeyClaimReply)
        return Success(reply)


def make_cluster():
    """Return the store, the calls to the home, and the other instance's claims."""
    members = tuple(
        Member(instance=name, address=name, failure_domain="porto", region="norte")
        for name in NAMES
    )
    home = find_owner(ROW[1], members)
    other = next(name for name in NAMES if name != home)
    view = ClusterView(
        instance=other, failure_domain="porto", region="norte", members=members
    )
    tables = FakeTables()
    peer_path = PeerPath(Home(claims=KeyClaims(tables, Random(1))))
    own = KeyClaims(tables, Random(2))
    return tables, peer_path, own, HomeKeyClaims(own, lambda: view, peer_path.call)


def make_record(nonce):
    return ClaimRecord(
        key=KEY,
        team="schools",
        request="r",
        holder="x",
        body_digest="d",
        nonce=nonce,
        expires_ms=1,
    )


def read_row(tables):
    return msgspec.json.decode(tables.rows[ROW].value, type=ClaimRecord)


async def test_a_claim_is_granted_once_when_calls_to_the_home_fail():
    for fault in ("", "cut", "late", "reply lost"):
        tables, peer_path, _, claims = make_cluster()
        peer_path.fault = fault
        granted = await claims.claim(make_record("first"))
        assert isinstance(granted, Success), fault
        again = await claims.claim(make_record("second"))
        assert isinstance(again.failure(), ClaimExists), fault
        done = msgspec.structs.replace(make_record("first"), outcome=Outcome.DONE)
        assert await claims.record_outcome(granted.unwrap(), done), fault
        for message in peer_path.delayed:
            if hasattr(message.record, "nonce") and not message.record.settled:
                await answer_claim(peer_path.home, message, None)
        assert read_row(tables).outcome is Outcome.DONE, fault


async def test_a_claim_that_its_home_can_not_write_is_not_run():
    tables, peer_path, own, claims = make_cluster()
    tables.lost_replies = math.inf
    refused = await claims.claim(make_record("first"))
    assert isinstance(refused.failure(), ClaimUnavailable)
    assert peer_path.home.claims.pending == 0
    assert own.pending == 1
    tables.lost_replies = 0
    await own.record_pending_outcomes()
    assert read_row(tables).outcome is Outcome.NOT_RUN


async def test_a_late_claim_of_a_request_that_ended_changes_nothing():
    tables, peer_path, own, claims = make_cluster()
    peer_path.fault = "late"
    granted = await claims.claim(make_record("first"))
    refused = msgspec.structs.replace(make_record("first"), outcome=Outcome.NOT_RUN)
    await own.record_outcome(granted.unwrap(), refused)
    await answer_claim(peer_path.home, peer_path.delayed[0], None)
    row = read_row(tables)
    assert row.settled
    assert row.outcome is Outcome.NOT_RUN
