"""Driver of slot credits: requests them from shard owners and lends as an owner."""

import asyncio

import logbook
from returns.result import Success

from fuchsiascale.coordination import (
    CreditReply,
    CreditRequest,
    CreditTerms,
    LedgerClaim,
    LedgerReply,
    LedgerRequest,
    find_owner,
    format_shard_id,
)
from fuchsiascale.daemon._routes import PEER_ROUTES
from fuchsiascale.pipelines import RUNNER_GRACE_S
from fuchsiascale.states import InstanceRole

__all__ = ["CREDITS_PATH", "LEDGERS_PATH", "CreditDriver"]

CREDITS_PATH = "/peer/v1/credits"
LEDGERS_PATH = "/peer/v1/ledgers"
ROUND_PERIOD_S = 0.25
MIN_ROUND_PERIOD_S = 0.02
CALL_TIMEOUT_S = 1.0
HANDOVER_POLL_S = 0.05
MAX_ADDRESSES = 64

log = logbook.Logger("credits")


class CreditDriver:
    """Requests the credits that this instance's load needs, and lends as an owner.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    dispatcher : Dispatcher
        Admission, whose slots are supplied with credits.
    ledger : SlotLedger
        Slots that this instance lends as an owner.
    view, fleet : callable
        Return the current view and the fleet in force.
    held_claims : callable
        Returns the held claims on workers, by worker id.
    call : callable
        ``async (address, path, message, reply_type, timeout_s) -> Result``.
    """

    def __init__(self, instance, dispatcher, ledger, view, fleet, held_claims, call):
        self._instance = instance
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._view = view
        self._fleet = fleet
        self._held_claims = held_claims
        self._call = call
        self._round_requested = asyncio.Event()
        self._calls = set()
        self._copying = set()
        self._addresses = {}

    def request_round(self):
        """Start the next round early, as requests wait for credits."""
        self._round_requested.set()

    async def run(self):
        """Run rounds of credit requests until cancelled."""
        while True:
            try:
                await self.run_once()
            except Exception:
                log.exception("round of slot credits failed")
            await asyncio.sleep(MIN_ROUND_PERIOD_S)
            try:
                async with asyncio.timeout(ROUND_PERIOD_S):
                    await self._round_requested.wait()
            except TimeoutError:
                continue
            self._round_requested.clear()

    async def run_once(self):
        """Take over ledgers, request the credits that are due, and assign slots."""
        view = self._view()
        runners = list_shard_runners(view)
        self._open_ledgers(view, runners)
        for shard, members in runners.items():
            self._request_credits(view, shard, members)
        self._dispatcher.refresh()

    def lend(self, request) -> CreditReply:
        """Answer a request for credits as the owner of a shard."""
        view = self._view()
        runners = list_shard_runners(view).get(request.shard, ())
        held = self._list_held_claims(runners)
        if not held:
            return CreditReply(owner=False)
        terms = self._list_terms(runners)
        return self._ledger.lend(request, held, terms, len(view.members))

    def hand_over(self, request) -> LedgerReply:
        """Close ledgers and return their copies for the new owner."""
        copies = (
            self._ledger.close(claim.runner, claim.token) for claim in request.claims
        )
        return LedgerReply(copies=tuple(copy for copy in copies if copy is not None))

    async def wait_handed_over(self, timeout_s):
        """Wait until new owners have fetched the ledgers with slots on loan.

        Parameters
        ----------
        timeout_s : float
            Limit of the wait, in seconds. A new owner that has not fetched a ledger has
            to wait until its credits have expired.

        Returns
        -------
        bool
            Whether all of them were fetched.
        """
        members = self._view().members
        others = any(member.instance != self._instance for member in members)
        polls_left = round(timeout_s / HANDOVER_POLL_S)
        while others and self._ledger.count_open() and polls_left > 0:
            await asyncio.sleep(HANDOVER_POLL_S)
            polls_left -= 1
        return not self._ledger.count_open()

    async def wait_for_calls(self):
        """Wait until no call is in flight."""
        while self._calls:
            await asyncio.wait(self._calls)

    def _list_terms(self, runners):
        """Return the lending terms of each runner whose service is known."""
        services = self._fleet().services
        return {
            each.instance_id: CreditTerms(
                slots=services[each.service].slots,
                drain_s=services[each.service].deadline_ms / 1000 + RUNNER_GRACE_S,
            )
            for each in runners
            if each.service in services
        }

    def _list_held_claims(self, runners):
        held_claims = self._held_claims()
        return {
            each.instance_id: held_claims[each.worker]
            for each in runners
            if each.worker in held_claims
        }

    def _open_ledgers(self, view, runners):
        """Open the ledgers of the held claims, and fetch those of previous owners."""
        claims = {}
        for members in runners.values():
            terms = self._list_terms(members)
            for name, held_claim in self._list_held_claims(members).items():
                if name not in terms:
                    continue
                self._ledger.open(name, held_claim, terms[name])
                previous_owner = self._ledger.find_copy_source(name, held_claim)
                if previous_owner is not None and previous_owner != self._instance:
                    claims.setdefault(previous_owner, {})[name] = held_claim
        self._record_addresses(view)
        for previous_owner, held_claims in claims.items():
            if (
                previous_owner in self._addresses
                and previous_owner not in self._copying
            ):
                self._copying.add(previous_owner)
                self._spawn(
                    self._copy_ledgers(
                        previous_owner, self._addresses[previous_owner], held_claims
                    )
                )

    def _record_addresses(self, view):
        """Record the members' addresses, which are kept when they leave."""
        for member in view.members:
            self._addresses.pop(member.instance, None)
            self._addresses[member.instance] = member.address
        while len(self._addresses) > MAX_ADDRESSES:
            del self._addresses[next(iter(self._addresses))]

    async def _copy_ledgers(self, previous_owner, address, held_claims):
        claims = tuple(
            LedgerClaim(runner=name, token=held_claim.token)
            for name, held_claim in held_claims.items()
        )
        request = LedgerRequest(claims=claims)
        try:
            reply = await self._call(
                address, LEDGERS_PATH, request, LedgerReply, CALL_TIMEOUT_S
            )
        finally:
            self._copying.discard(previous_owner)
        if not isinstance(reply, Success):
            return
        for copy in reply.unwrap().copies:
            if copy.runner in held_claims:
                self._ledger.apply_copy(copy, held_claims[copy.runner])
        self._round_requested.set()

    def _request_credits(self, view, shard, runners):
        owner = find_owner(shard, view.members)
        if owner is None:
            return
        request = self._dispatcher.slots.build_request(
            shard,
            [(each.instance_id, self._estimate_extra_slots(each)) for each in runners],
        )
        if request is None:
            return
        if owner == self._instance:
            self._dispatcher.slots.apply(request, self.lend(request))
            return
        address = next(m.address for m in view.members if m.instance == owner)
        self._spawn(self._exchange(address, request))

    async def _exchange(self, address, request):
        reply = None
        try:
            result = await self._call(
                address, CREDITS_PATH, request, CreditReply, CALL_TIMEOUT_S
            )
            reply = result.value_or(None)
        finally:
            self._dispatcher.slots.apply(request, reply)
        self._dispatcher.refresh()

    def _estimate_extra_slots(self, runner):
        """Return the slots of a runner that waiting requests could use."""
        waiting = self._dispatcher.count_waiting(runner.service)
        if not waiting:
            return 0
        runners = len(self._dispatcher.find_runners(runner.service))
        return -(-waiting // max(1, runners))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)


def list_shard_runners(view):
    """Return the runners of the own failure domain that may get requests, by shard.

    Parameters
    ----------
    view : ClusterView
        The current view.

    Returns
    -------
    dict of ShardId to list of ListedInstance
        The runners.
    """
    found = {}
    for each in view.upstreams:
        if each.role is not InstanceRole.RUNNER:
            continue
        if each.failure_domain != view.failure_domain:
            continue
        shard = format_shard_id(each.failure_domain, each.rack)
        found.setdefault(shard, []).append(each)
    return found


@PEER_ROUTES.route("POST", CREDITS_PATH, CreditRequest)
async def answer_credits(application, message, request):
    """Lend slots to a peer."""
    return application.credits.lend(message)


@PEER_ROUTES.route("POST", LEDGERS_PATH, LedgerRequest)
async def answer_ledgers(application, message, request):
    """Hand ledgers over to their new owner."""
    return application.credits.hand_over(message)
