"""Which instance owns which service: the view, its watch, and taking over."""

import asyncio
import random

import logbook
import msgspec
import xxhash
from returns.result import Failure

from fuchsiascale.jobs._owner import Owner
from fuchsiascale.jobs._peer_messages import (
    Acknowledgement,
    CancelNotice,
    Handover,
    JobNotice,
    Ping,
    Pong,
    RelayWrite,
    StateQuery,
    StateReply,
    WaitingQuery,
    WaitingReply,
)
from fuchsiascale.jobs._ports import Change, Conflict, Expect, NoAnswer
from fuchsiascale.jobs._records import (
    ACCEPTED,
    OWNER_KEY,
    OwnerRow,
    decode_row,
    encode_row,
    owner_place,
)
from fuchsiascale.jobs._relay import decode_commit_result

__all__ = ["Offices", "OwnerView"]

PING_PERIOD_S = 0.3
"""Period of pings to the owner of a service."""
PING_TIMEOUT_S = 0.5
"""Time for the answer to a ping or a question."""
WRITE_TIMEOUT_S = 1.3
"""Time for the owner to commit a submission for another instance: two slow commits."""
SUSPECT_S = 1.1
"""Time without an answer of the owner after which it is taken to be gone."""
PEER_HEARD_S = 0.7
"""An owner that a peer has heard of this recently is not taken to be gone."""
RANK_DELAY_S = 0.1
"""Delay between the attempts of members to take over, by their rank."""
HANDOVER_S = 1.0
"""Time for a peer to take a service over; the owner grants leases until then."""
SETTLE_S = 1.5
"""Time that a new owner has to load and answer before it may be suspected."""
WEAKNESS_DELAY_S = 0.8
"""Delay of the weakest instance to take over, so that a stronger one goes first."""
MEMBER_SILENCE_S = 3.0
"""Time without a ping after which an instance is no longer named to others."""


class OwnerView(msgspec.Struct, frozen=True):
    """The owner row of a service as last seen; version 0 says that there is none."""

    service: str
    row: OwnerRow | None = None
    version: int = 0

    @property
    def token(self):
        """Return the owner's token; 0 where there is no owner."""
        return self.row.token if self.row else 0


class Offices:
    """Ownership of services as one instance sees and shares it.

    Parameters
    ----------
    identity : Ping
        This instance, as it names itself to its peers.
    store : StorePort
        The store.
    workers : WorkerPort
        Calls to workers.
    peers : PeerPort
        Calls to other instances.
    listing : WorkerListing
        Where the platform lists the workers.
    lease_s : float
        Longest lease that workers grant.
    clock : Clock
        Source of time.
    """

    def __init__(self, identity, store, workers, peers, listing, lease_s, clock):
        self.identity = identity
        self.store = store
        self.workers = workers
        self.peers = peers
        self.listing = listing
        self.lease_s = lease_s
        self.clock = clock
        self.log = logbook.Logger("offices")
        self.owners = {}
        self.stopping = False
        self._views = {}
        self._heard_s = {}
        self._members = {}
        self._strengths = {}
        self._regions = {}
        self._told = {}
        self._near = ()
        self._claiming = set()
        self._tasks = set()
        self._watches = {}

    # The view --------------------------------------------------------------------

    def view(self, service):
        """Return the owner of a service as last seen."""
        return self._views.get(service) or OwnerView(service)

    def learn(self, service, row, version):
        """Take in the owner row of a service."""
        if version >= self.view(service).version or version == 0:
            if version > self.view(service).version:
                self._heard_s[service] = self.clock.monotonic() + SETTLE_S
            self._views[service] = OwnerView(service, row, version)

    def members(self):
        """Return the peer addresses of instances that are alive."""
        now_s = self.clock.monotonic()
        own = {
            address
            for address, heard_s in self._members.items()
            if now_s - heard_s < MEMBER_SILENCE_S
        }
        told = {
            address
            for address, told_s in self._told.items()
            if now_s - told_s < MEMBER_SILENCE_S
        }
        return sorted((own | told) - {self.identity.address})

    def near_members(self):
        """Return the peers alive in this region, as an owner last told them."""
        return [address for address in self.members() if address in self._near]

    def watch(self, services):
        """Watch the owners of these services."""
        for service in services:
            if service not in self._watches:
                self._watches[service] = self._keep(self._run_watch(service))

    def _keep(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)
        return task

    def _note_end(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.log.error("background task failed: {!r}", error, exc_info=error)

    async def stop(self):
        """End all owners and watches."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for owner in list(self.owners.values()):
            await owner.stop()
        await asyncio.gather(*tasks, return_exceptions=True)

    # The watch -------------------------------------------------------------------

    async def _run_watch(self, service):
        while not self.stopping:
            began_s = self.clock.monotonic()
            if service not in self.owners:
                try:
                    await self._look_at(service)
                except Exception as error:
                    # A service without a watch would stay without an owner.
                    self.log.error("watch failed: {!r}", error, exc_info=error)
            passed_s = self.clock.monotonic() - began_s
            await asyncio.sleep(max(0.02, PING_PERIOD_S - passed_s))

    async def _look_at(self, service):
        """Look once after the owner of a service, and claim it where it is gone."""
        view = self.view(service)
        if view.row is None:
            view = await self._read_view(service)
        if view is None:
            return
        if view.row is None:
            await self._claim(view, self._weakness_s(), None)
        elif view.row.instance == self.identity.instance:
            await self._claim(view, 0.0, self.clock.monotonic())
        else:
            await self._check_owner(view)

    async def _read_view(self, service):
        found = await self.store.read(ACCEPTED, service, OWNER_KEY, OWNER_KEY + "\0")
        if isinstance(found, Failure):
            return None
        for row in found.unwrap().rows:
            self.learn(service, decode_row(row.value, OwnerRow), row.version)
            return self.view(service)
        return OwnerView(service)

    async def _check_owner(self, view):
        service = view.service
        reply = await self.peers.ask(view.row.address, self.identity, PING_TIMEOUT_S)
        now_s = self.clock.monotonic()
        if isinstance(reply, Pong):
            for address in reply.members:
                self._told[address] = now_s
            self._told[view.row.address] = now_s
            self._near = reply.near
            if reply.owned.get(service, 0) >= view.token:
                self._heard_s[service] = now_s
                return
            if reply.incarnation != view.row.incarnation:
                await self._refresh_and_claim(service, now_s)
                return
        silent_s = now_s - self._heard_s.setdefault(service, now_s)
        if silent_s > SUSPECT_S and not await self._heard_by_peer(service):
            await self._refresh_and_claim(service, None)

    async def _refresh_and_claim(self, service, gone_s):
        before = self.view(service)
        view = await self._read_view(service)
        if view is None or view.version != before.version:
            return
        delay_s = self._rank(view) * RANK_DELAY_S + self._weakness_s()
        await self._claim(view, delay_s, gone_s)

    def _weakness_s(self):
        return (1 - self.identity.strength) * WEAKNESS_DELAY_S

    def _rank(self, view):
        def score(address):
            key = f"{address}|{view.service}|{view.token}"
            return xxhash.xxh64_intdigest(key.encode())

        own = score(self.identity.address)
        others = set(self.members()) - {view.row.address if view.row else ""}
        return sum(1 for address in others if score(address) < own)

    async def _heard_by_peer(self, service):
        owner = self.view(service).row
        others = [each for each in self.members() if each != owner.address]
        asked = random.sample(others, min(2, len(others)))
        replies = await asyncio.gather(
            *(
                self.peers.ask(address, self.identity, PING_TIMEOUT_S / 2)
                for address in asked
            )
        )
        return any(
            isinstance(reply, Pong)
            and reply.heard_ago_s.get(service, PEER_HEARD_S) < PEER_HEARD_S
            for reply in replies
        )

    async def _claim(self, view, delay_s, gone_s):
        """Take a service over, unless another instance is quicker."""
        if self.stopping or view.service in self._claiming:
            return False
        self._claiming.add(view.service)
        try:
            await asyncio.sleep(delay_s)
            return await self._write_claim(view, gone_s)
        finally:
            self._claiming.discard(view.service)

    async def _write_claim(self, view, gone_s):
        service = view.service
        row = OwnerRow(
            token=view.token + 1,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            address=self.identity.address,
        )
        place = owner_place(service)
        reply = await self.store.commit(
            (Expect(place, view.version),), (Change(place, encode_row(row)),)
        )
        if isinstance(reply, Failure):
            if isinstance(reply.failure(), Conflict | NoAnswer):
                found = await self._read_view(service)
                if found is None or found.row != row:
                    return False
                version = found.version
            else:
                return False
        else:
            version = reply.unwrap()
        self.learn(service, row, version)
        self.log.warning(
            "ownership taken",
            extra={
                "service": service,
                "token": row.token,
                "from": view.row.instance if view.row else "",
            },
        )
        owner = Owner(
            service,
            row,
            version,
            self.store,
            self.workers,
            self.listing,
            self.lease_s,
            self.clock,
            self._note_lost,
        )
        self.owners[service] = owner
        self._keep(owner.start(gone_s))
        if view.row is not None and gone_s is None:
            self._keep(self._watch_predecessor(owner, view.row))
        return True

    async def _watch_predecessor(self, owner, row):
        """Tell an owner once its predecessor has restarted or stepped down."""
        while not owner.lost and not owner.covered:
            reply = await self.peers.ask(row.address, self.identity, PING_TIMEOUT_S)
            restarted = isinstance(reply, Pong) and (
                reply.incarnation != row.incarnation
                or reply.owned.get(owner.service) != row.token
            )
            if restarted:
                owner.note_predecessor_gone(self.clock.monotonic())
                return
            await asyncio.sleep(PING_PERIOD_S)

    def _note_lost(self, owner):
        if self.owners.get(owner.service) is owner:
            del self.owners[owner.service]
            # The row is read again before anything is believed of the owner.
            self._views.pop(owner.service, None)

    # Questions to the owner --------------------------------------------------------

    def tell_job(self, service, row):
        """Tell the owner of a job that is stored."""
        if service in self.owners:
            self.owners[service].add_job(row)
            return
        self._tell_owner(service, JobNotice(service, row))

    def tell_cancel(self, service, job):
        """Tell the owner of a cancellation that is stored."""
        if service in self.owners:
            self.owners[service].cancel_job(job)
            return
        self._tell_owner(service, CancelNotice(service, job))

    def _tell_owner(self, service, message):
        row = self.view(service).row
        if row is not None and row.address != self.identity.address:
            self._keep(self.peers.ask(row.address, message, PING_TIMEOUT_S))

    async def ask_state(self, service, job):
        """Return a job's state; None where the owner can't tell."""
        if service in self.owners:
            return self.owners[service].shard.state_of(job)
        reply = await self._ask_owner(service, StateQuery(service, job))
        return reply.state if isinstance(reply, StateReply) else None

    async def ask_waiting(self, service):
        """Return how many jobs of each queue wait; None where the owner can't tell."""
        if service in self.owners:
            return self.owners[service].count_waiting()
        reply = await self._ask_owner(service, WaitingQuery(service))
        return reply.counts if isinstance(reply, WaitingReply) else None

    async def write_through_owner(self, write):
        """Have the owner commit a submission; None where this instance has to."""
        view = write.view
        if view.row is None or view.row.address == self.identity.address:
            return None
        message = RelayWrite(
            view.service, view.row, view.version, write.expected, write.change
        )
        relayed = await self.peers.ask(view.row.address, message, WRITE_TIMEOUT_S)
        return decode_commit_result(relayed)

    async def _ask_owner(self, service, message):
        row = self.view(service).row
        if row is None or row.address == self.identity.address:
            return None
        return await self.peers.ask(row.address, message, PING_TIMEOUT_S)

    # What peers ask ------------------------------------------------------------------

    async def answer(self, message):
        """Return the answer to a peer's message about ownership or jobs."""
        match message:
            case Ping():
                return self._answer_ping(message)
            case JobNotice(service=service):
                if service in self.owners:
                    self.owners[service].add_job(message.row)
                return Acknowledgement(service in self.owners)
            case CancelNotice(service=service):
                if service in self.owners:
                    self.owners[service].cancel_job(message.job)
                return Acknowledgement(service in self.owners)
            case StateQuery(service=service):
                owner = self.owners.get(service)
                return StateReply(owner.shard.state_of(message.job) if owner else None)
            case WaitingQuery(service=service):
                owner = self.owners.get(service)
                return WaitingReply(owner.count_waiting() if owner else None)
            case Handover():
                return await self._take_handover(message)
        return Acknowledgement(False)

    def _answer_ping(self, ping):
        now_s = self.clock.monotonic()
        self._members[ping.address] = now_s
        self._strengths[ping.address] = ping.strength
        self._regions[ping.address] = ping.region
        self._regions[self.identity.address] = self.identity.region
        members = tuple(self.members())
        return Pong(
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            owned={name: owner.row.token for name, owner in self.owners.items()},
            heard_ago_s={
                name: now_s - heard_s for name, heard_s in self._heard_s.items()
            },
            members=members,
            near=tuple(
                address
                for address in (self.identity.address, *members)
                if self._regions.get(address) == ping.region
            ),
        )

    async def _take_handover(self, message):
        self.learn(message.service, message.row, message.version)
        view = self.view(message.service)
        if view.version != message.version:
            return Acknowledgement(False)
        stopped_s = self.clock.monotonic() + HANDOVER_S
        return Acknowledgement(await self._claim(view, 0.0, stopped_s))

    def _strongest_first(self):
        return sorted(
            self.members(), key=lambda address: -self._strengths.get(address, 0.0)
        )

    async def hand_over(self):
        """Pass all services to other instances, before this one stops."""
        self.stopping = True
        for service, owner in list(self.owners.items()):
            await owner.prepare_handover()
            owner.grant_until(self.clock.monotonic() + HANDOVER_S)
            for address in self._strongest_first():
                message = Handover(service, owner.row, owner.version)
                reply = await self.peers.ask(address, message, HANDOVER_S)
                if isinstance(reply, Acknowledgement) and reply.done:
                    self.log.info(
                        "handed over", extra={"service": service, "to": address}
                    )
                    break
            owner.give_up("this instance stops")
