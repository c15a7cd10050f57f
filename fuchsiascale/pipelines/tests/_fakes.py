"""Fakes for the ports of the request pipeline."""

import hashlib
from random import Random

from returns.result import Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    ClusterView,
    CreditTerms,
    Fleet,
    HeldClaim,
    KeyClaims,
    Member,
    ServiceSettings,
    SlotHolder,
    SlotLedger,
    TeamSettings,
)
from fuchsiascale.pipelines import Call, CallHeaders, Dispatcher, RequestPorts
from fuchsiascale.platform import (
    NO_TOKEN,
    FencingToken,
    ListedInstance,
    UpstreamAnswer,
)
from fuchsiascale.platform.tests.fakes import FakeTables
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


def make_runner(name="runner-1", domain="porto", address=""):
    return ListedInstance(
        instance_id=name,
        role=InstanceRole.RUNNER,
        address=address or f"{name}:80",
        failure_domain=domain,
        region="norte",
        rack="r1",
        service="hub",
        worker=f"worker-of-{name}",
    )


def make_view(runners=("runner-1",), address="", **fields):
    return ClusterView(
        instance="a",
        failure_domain="porto",
        region="norte",
        members=(MEMBER,),
        upstreams=tuple(make_runner(name, address=address) for name in runners),
        **fields,
    )


class FakeRunners:
    """Runners that answer with a function and record the requests sent to them."""

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


def make_slots(clock, runners, slots=8):
    """Return a slot holder with credits for all slots of the runners."""
    ledger = SlotLedger(clock)
    now_s = clock.monotonic()
    token = FencingToken(counter=1, holder="a")
    held_claim = HeldClaim(
        token=token, previous=NO_TOKEN, claimed_s=now_s, confirmed_s=now_s
    )
    holder = SlotHolder("a", clock)
    request = holder.build_request("porto:r1", [(n, slots - 1) for n in runners])
    held_claims = dict.fromkeys(runners, held_claim)
    if request is None:
        return holder
    terms = dict.fromkeys(runners, CreditTerms(slots=slots, drain_s=2.5))
    holder.apply(request, ledger.lend(request, held_claims, terms, 1))
    return holder


def make_ports(runner_names=("runner-1",), slots=8, **changed):
    fleet = make_fleet()
    view = changed.pop("seen", None) or make_view(runner_names)
    clock = changed.pop("clock", None) or ManualClock()
    dispatcher = Dispatcher(
        slots=make_slots(clock, runner_names, slots),
        view=lambda: view,
        fleet=lambda: fleet,
        clock=clock,
        random=Random(9),
    )
    fields = {
        "runners": FakeRunners(),
        "view": lambda: view,
        "fleet": lambda: fleet,
        "clock": clock,
        "random": Random(7),
        "dispatcher": dispatcher,
        "claims": KeyClaims(FakeTables(), Random(8)),
    }
    return RequestPorts(**{**fields, **changed})


def make_call(body=b"take", service="hub", method="POST", received_s=0.0, **headers):
    async def read_body(limit, timeout_s):
        return Success(body)

    return Call(
        service_id=service,
        method=method,
        path="match",
        received_s=received_s,
        read_body=read_body,
        headers=CallHeaders(**{"authorization": f"Bearer {TOKEN}", **headers}),
    )
