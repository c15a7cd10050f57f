"""Fakes at the ports of the request pipeline."""

import asyncio
import hashlib
from random import Random

from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    ClusterView,
    Fleet,
    KeyClaims,
    Member,
    ServiceSettings,
    SlotHolder,
    TeamSettings,
)
from fuchsiascale.pipelines import Call, CallHeaders, RequestPorts
from fuchsiascale.platform import (
    Conflict,
    ListedInstance,
    Row,
    Unavailable,
    Uncertain,
    UpstreamAnswer,
)
from fuchsiascale.states import InstanceRole

TOKEN = "open sesame"
HUB = ServiceSettings(service="hub", team="schools", max_body_bytes=64)
MEMBER = Member(
    instance="a", address="127.0.0.1:1", failure_domain="porto", region="norte"
)


def make_fleet():
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    return Fleet(
        services={"hub": HUB},
        teams={
            "schools": TeamSettings(team="schools", token_sha256=digest),
            "guests": TeamSettings(team="guests"),
        },
    )


def make_runner(name="runner-1", domain="porto"):
    return ListedInstance(
        instance_id=name,
        role=InstanceRole.RUNNER,
        address=f"{name}:80",
        failure_domain=domain,
        region="norte",
        rack="r1",
        service="hub",
        worker=f"worker-of-{name}",
    )


def make_view(runners=("runner-1",), **fields):
    return ClusterView(
        instance="a",
        failure_domain="porto",
        region="norte",
        members=(MEMBER,),
        upstreams=tuple(make_runner(name) for name in runners),
        **fields,
    )


class FakeTables:
    """Conditional rows in memory, with the faults of the table service."""

    def __init__(self):
        self.rows = {}
        self.down = False
        self.lose_reply = False
        self.versions = 0

    async def get(self, table, key):
        if self.down:
            return Failure(Unavailable(detail="down"))
        return Success(self.rows.get((table, key)))

    async def transact(self, transaction):
        await asyncio.sleep(0)
        if self.down:
            return Failure(Unavailable(detail="down"))
        conflicts = [
            self.rows.get((put.table, put.key))
            for put in transaction.puts
            if self._version(put) != put.expected_version
        ]
        if conflicts:
            return Failure(Conflict(rows=tuple(row for row in conflicts if row)))
        written = tuple(
            self._put(put, transaction.write_id) for put in transaction.puts
        )
        if self.lose_reply:
            return Failure(Uncertain(detail="reply lost"))
        return Success(written)

    def _version(self, put):
        row = self.rows.get((put.table, put.key))
        return row.version if row else 0

    def _put(self, put, write_id):
        self.versions += 1
        row = Row(
            table=put.table,
            key=put.key,
            version=self.versions,
            write_id=write_id,
            value=put.value,
        )
        self.rows[put.table, put.key] = row
        return row


class FakeRunners:
    """Runners that answer by a function, and the requests they were sent."""

    def __init__(self, answer=None):
        self.sent = []
        self.answer = answer or self.echo

    async def send(self, address, request):
        self.sent.append((address, request))
        return await self.answer(address, request)

    async def echo(self, address, request):
        return Success(
            UpstreamAnswer(
                request_id=request.request_id,
                runner=address.split(":")[0],
                status=200,
                body=request.body,
            )
        )


def make_ports(**changed):
    fleet = make_fleet()
    view = make_view()
    fields = {
        "runners": FakeRunners(),
        "view": lambda: view,
        "fleet": lambda: fleet,
        "clock": ManualClock(),
        "random": Random(7),
        "slots": SlotHolder(),
        "claims": KeyClaims(FakeTables(), Random(8)),
    }
    return RequestPorts(**{**fields, **changed})


def make_call(body=b"take", service="hub", method="POST", **headers):
    async def read_body(limit):
        return Success(body)

    return Call(
        service_id=service,
        method=method,
        path="match",
        received_s=0.0,
        read_body=read_body,
        headers=CallHeaders(**{"authorization": f"Bearer {TOKEN}", **headers}),
    )
