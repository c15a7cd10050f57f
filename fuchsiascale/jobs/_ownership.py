"""Ownership of services: cached owner rows, failure detection, claims, handover."""

import asyncio
import random

import logbook
import msgspec
from returns.result import Failure, Success

from fuchsiascale.jobs._admission import LoadEstimates, ServiceLoad, estimate_queues
from fuchsiascale.jobs._members import Member, Members
from fuchsiascale.jobs._owner import Owner
from fuchsiascale.jobs._owner_succession import (
    announce_owner,
    seek_support,
    watch_predecessor,
)
from fuchsiascale.jobs._owner_views import OwnerView, OwnerViews
from fuchsiascale.jobs._peer_answers import answer_message
from fuchsiascale.jobs._peer_messages import (
    PING_PERIOD_S,
    PING_TIMEOUT_S,
    Acknowledgement,
    CancelNotice,
    EarlyCancelNotice,
    Handover,
    JobNotice,
    PlacementQuery,
    PlacementReply,
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
    owner_row_key,
)
from fuchsiascale.jobs._relayed_workers import RelayedWorkers
from fuchsiascale.jobs._store_relay import decode_commit_result
from fuchsiascale.jobs._store_silence import StoreSilence

__all__ = ["OwnershipManager"]

WRITE_TIMEOUT_S = 1.3
"""Timeout of a submission that the owner commits for another instance: the time of
two slow commits."""
SUSPECT_AFTER_S = 1.1
"""Time without a reply of the owner after which it is suspected to have failed."""
OWNER_PING_TIMEOUT_S = 1.0
"""Timeout of a ping to the owner. With the period of the pings it is just longer than
the time above: shorter ones would find a lost owner no sooner, and take one that is
slow for lost. Each that is given up also costs the owner a new connection."""
PEER_REPLY_RECENT_S = 0.7
"""An owner that replied to a peer less than this long ago is not suspected."""
RANK_DELAY_S = 0.1
"""Delay between the claims of instances of consecutive rank."""
HANDOVER_TIMEOUT_S = 1.0
"""Time for a peer to take a service over; the old owner grants leases until then."""
MAX_RANK_DELAY_S = 0.8
"""Longest delay of a claim, for an instance that many members come before."""
MAX_STRENGTH_DELAY_S = 0.8
"""Delay of a claim by an instance of strength 0 that knows no members, as after the
start of all instances, so that stronger ones claim first."""
MAX_REPORT_AGE_S = 3.0
"""Age of an owner's last report from which its members are not known for certain."""
MIN_SUPPORTER_AGE_S = 6.0
"""Time for which a member has been live when an owner lists it as a supporter, at most
1 s after its last confirmation by the store. Any successor that had reports without a
gap of 5 s has one with that member in it."""


class OwnershipManager:
    """Tracks the owners of services, and runs those that this instance owns.

    Parameters
    ----------
    identity : Ping
        Identity of this instance, sent to peers as a ping.
    store : StorePort
        The store.
    workers : WorkerPort
        Client for calls to workers.
    peers : PeerClient
        Client for calls to other instances.
    listing : WorkerListing
        Table of the platform's worker list and its decoder.
    limits : OwnerLimits
        Limits of the platform.
    clock : Clock
        Source of time.
    connect_relay : callable, optional
        Opens a connection to a peer that relays calls to workers; see `RelayChannel`.
        Without it, all workers are called directly.
    evacuations : EvacuationListing or None, optional
        Where evacuations of failure domains are; None if the operator evacuates none.
    silence : StoreSilence, optional
        What this instance and its peers have seen of the store.
    late_commands : LateCommands, optional
        Counts the starts that owners here do not send, as they are late.
    """

    def __init__(
        self,
        identity,
        store,
        workers,
        peers,
        listing,
        limits,
        clock,
        connect_relay=None,
        evacuations=None,
        silence=None,
        late_commands=None,
    ):
        self.identity = identity
        self.store = store
        self.workers = workers
        self.peers = peers
        self.listing = listing
        self.limits = limits
        self.clock = clock
        self.log = logbook.Logger("offices")
        self._connect_relay = connect_relay
        self._evacuations = evacuations
        self._late_commands = late_commands
        self.silence = silence or StoreSilence(clock)
        self.loads = LoadEstimates(clock)
        self._own_loads = {}
        self.owners = {}
        self.stopping = False
        self._views = OwnerViews(clock)
        self.known_members = Members(
            Member(
                identity.address, identity.domain, identity.region, identity.strength
            ),
            clock,
        )
        self._claiming = set()
        self._claimed_versions = {}
        self._tasks = set()
        self._watches = {}

    # Cached owners ---------------------------------------------------------------

    def view(self, service):
        """Return the cached owner of a service."""
        return self._views.get(service)

    def update_view(self, service, row, version):
        """Update the cached owner of a service, unless the row is outdated."""
        self._views.update(service, row, version)

    def members(self):
        """Return the addresses of the other instances that are alive."""
        return self.known_members.addresses()

    def near_members(self):
        """Return the addresses of the live members of this region."""
        return self.known_members.near_addresses()

    def watch(self, services):
        """Watch the owners of services, and claim those that have none."""
        for service in services:
            if service not in self._watches:
                self._watches[service] = self._spawn(self._watch_service(service))

    def other_services(self, service):
        """Return all services ever watched here, except one."""
        return tuple(each for each in self._watches if each != service)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.log.error("background task failed: {!r}", error, exc_info=error)

    async def stop(self):
        """Stop all owners and watches."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for owner in list(self.owners.values()):
            await owner.stop()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Failure detection -----------------------------------------------------------

    async def _watch_service(self, service):
        while not self.stopping:
            started_s = self.clock.monotonic()
            try:
                if service in self.owners:
                    self._measure_load(service)
                else:
                    await self._check_service(service)
            except Exception as error:
                # Keep watching: an unwatched service would never get a new owner.
                self.log.error("owner check failed: {!r}", error, exc_info=error)
            elapsed_s = self.clock.monotonic() - started_s
            await asyncio.sleep(max(0.02, PING_PERIOD_S - elapsed_s))

    async def _check_service(self, service):
        """Check the owner of a service once, and claim the service if it has none."""
        view = self.view(service)
        if view.row is None:
            view = await self._read_view(service)
        if view is None:
            return
        if view.row is None:
            await self._claim(view, self._strength_delay_s(), None)
        elif view.row.address == self.identity.address:
            # An earlier process at this address, which has ended.
            await self._claim(view, 0.0, self.clock.monotonic())
        else:
            await self._check_owner(view)

    async def _read_view(self, service):
        found = await self.store.read(ACCEPTED, service, OWNER_KEY, OWNER_KEY + "\0")
        if isinstance(found, Failure):
            return None
        for row in found.unwrap().rows:
            self.update_view(service, decode_row(row.value, OwnerRow), row.version)
            return self.view(service)
        return OwnerView(service)

    async def _check_owner(self, view):
        service = view.service
        asked_s = self.clock.monotonic()
        reply = await self._ping(view.row.address, OWNER_PING_TIMEOUT_S)
        now_s = self.clock.monotonic()
        if isinstance(reply, Pong):
            token = reply.owned.get(service, 0)
            is_owner = token >= view.token
            self.known_members.apply_report(
                view.row.address, reply.live_members, reply.members_digest
            )
            if is_owner:
                self.known_members.note_report(service, asked_s)
                self._views.note_reply(service, token, now_s)
                return
            if reply.incarnation != view.row.incarnation:
                await self._refresh_and_claim(view, now_s)
                return
        silent_s = self._views.measure_silence_s(service, now_s)
        if silent_s > SUSPECT_AFTER_S and not await self._replied_to_peer(service):
            await self._refresh_and_claim(view, None)

    async def _ping(self, address, timeout_s):
        ping = msgspec.structs.replace(
            self.identity,
            known_members=self.known_members.reported_digest,
            store=self.silence.make_report(),
        )
        asked_s = self.clock.monotonic()
        reply = await self.peers.ask(address, ping, timeout_s)
        if isinstance(reply, Pong):
            self.silence.note_report(address, reply.store, asked_s)
            self._note_loads(reply, asked_s)
        return reply

    def _note_loads(self, reply, asked_s):
        """Note the estimates of an owner; a service without any has capacity."""
        loads = {load.service: load for load in reply.loads}
        for service, token in reply.owned.items():
            load = loads.get(service)
            if load is None:
                self.loads.note(service, token, {}, asked_s)
            else:
                self.loads.note(service, token, load.queues, asked_s - load.age_s)

    def _measure_load(self, service):
        """Estimate how long jobs of a service wait that is owned here."""
        owner, now_s = self.owners[service], self.clock.monotonic()
        queues = {}
        if owner.is_takeover_complete:
            queues = estimate_queues(owner.shard, now_s)
        self._own_loads[service] = (owner, queues, now_s)
        self.loads.note(service, owner.row.token, queues, now_s)

    def _export_loads(self, now_s):
        """Return the estimates of the services owned here in which jobs wait."""
        return tuple(
            ServiceLoad(service, round(now_s - as_of_s, 3), queues)
            for service, (owner, queues, as_of_s) in self._own_loads.items()
            if queues and self.owners.get(service) is owner
        )

    async def _refresh_and_claim(self, suspected, stopped_s):
        """Claim a service unless the store shows another owner than the suspected one.

        This instance may have learnt of that owner while it checked the suspected one.
        """
        service = suspected.service
        view = await self._read_view(service)
        if view is None or view.version != suspected.version:
            return
        excluded = view.row.address if view.row else ""
        rank = self.known_members.rank(f"{service}|{view.token}", excluded)
        delay_s = min(rank * RANK_DELAY_S, MAX_RANK_DELAY_S)
        if not self.members():
            delay_s = self._strength_delay_s()
        await self._claim(view, delay_s, stopped_s)

    def _strength_delay_s(self):
        return (1 - self.identity.strength) * MAX_STRENGTH_DELAY_S

    async def _replied_to_peer(self, service):
        owner = self.view(service).row
        others = [each for each in self.members() if each != owner.address]
        asked = random.sample(others, min(2, len(others)))
        replies = await asyncio.gather(
            *(self._ping(address, PING_TIMEOUT_S / 2) for address in asked)
        )
        return any(
            isinstance(reply, Pong)
            and reply.heard_ago_s.get(service, PEER_REPLY_RECENT_S)
            < PEER_REPLY_RECENT_S
            for reply in replies
        )

    async def _claim(self, view, delay_s, stopped_s, was_handed_over=False):
        """Claim a service after a delay, unless another instance claims it first.

        ``stopped_s`` is the monotonic time from which the previous owner grants no
        leases; None if it may still grant some.
        """
        if not self._may_claim(view.service) or view.service in self._claiming:
            return False
        self._claiming.add(view.service)
        try:
            await asyncio.sleep(delay_s)
            if not self._may_claim(view.service):
                return False
            return await self._write_claim(view, stopped_s, was_handed_over)
        finally:
            self._claiming.discard(view.service)

    def _may_claim(self, service):
        """Return whether this instance may become the owner; it may be already."""
        return not self.stopping and service not in self.owners

    async def _write_claim(self, view, stopped_s, was_handed_over):
        service = view.service
        row = OwnerRow(
            token=view.token + 1,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            address=self.identity.address,
            seeks_support=True,
            was_handed_over=was_handed_over,
        )
        version = await self._commit_claim(view, row)
        if version is None:
            return False
        silent_s = self._views.measure_silence_s(service, self.clock.monotonic())
        self.update_view(service, row, version)
        self.log.warning(
            "ownership taken",
            extra={
                "service": service,
                "token": row.token,
                "from": view.row.instance if view.row else "",
                "handed_over": was_handed_over,
                "silent_s": round(max(0.0, silent_s), 3),
            },
        )
        owner = Owner(
            service,
            row,
            version,
            self.store,
            self._make_relayed_workers(),
            self.listing,
            self.limits,
            self.clock,
            self._handle_owner_lost,
            self._evacuations,
        )
        self.owners[service] = owner
        self._spawn(owner.start(stopped_s))
        self._spawn(seek_support(owner, self._list_supporters, self.peers))
        if view.row is not None:
            self._announce(owner, view.row)
        if view.row is not None and stopped_s is None:
            self._spawn(watch_predecessor(owner, view.row, self._ping))
        return True

    def _announce(self, owner, predecessor):
        """Tell all instances that may support the predecessor of its successor."""
        claimed_s = self.clock.monotonic()
        members, service = self.known_members, owner.service
        age_s = claimed_s - members.get_reported_s(service)
        is_complete = age_s < MAX_REPORT_AGE_S and members.has_history(service)
        if not (predecessor.seeks_support and is_complete):
            return
        addresses = [
            address
            for address in members.recent_addresses()
            if address != predecessor.address
        ]
        self._spawn(announce_owner(owner, addresses, self.peers, claimed_s))

    def _list_supporters(self):
        """Return the members that any successor of this instance would know of."""
        return self.known_members.established_addresses(MIN_SUPPORTER_AGE_S)

    def knows_version(self, service, version):
        """Return whether this instance knows an owner row, or a later one."""
        return self._views.get_newest_version(service) >= version

    def get_supported_version(self, service):
        """Return the version of the owner that this instance supports; 0 for none.

        It doesn't support one whose row a claim of its own may have replaced.
        """
        version = self.view(service).version
        return 0 if self._claimed_versions.get(service) == version else version

    async def _commit_claim(self, view, row):
        """Write an owner row; return its version, or None if it is not written.

        A claim without an answer may be written later. Successors of its owner don't
        tell this instance of themselves, as they take it for their predecessor.
        """
        row_key = owner_row_key(view.service)
        is_first = self._claimed_versions.get(view.service) != view.version
        self._claimed_versions[view.service] = view.version
        reply = await self.store.commit(
            (Expect(row_key, view.version),), (Change(row_key, encode_row(row)),)
        )
        if isinstance(reply, Success):
            return reply.unwrap()
        error = reply.failure()
        if isinstance(error, Conflict | NoAnswer):
            found = await self._read_view(view.service)
            if found is not None and found.row == row:
                return found.version
        elif is_first:
            del self._claimed_versions[view.service]
        self.log.info(
            "claim not written",
            extra={"service": view.service, "why": type(error).__name__},
        )
        return None

    def _make_relayed_workers(self):
        return RelayedWorkers(
            self.workers,
            self._connect_relay,
            self.known_members,
            self.clock,
            self._late_commands,
        )

    def _handle_owner_lost(self, owner):
        if self.owners.get(owner.service) is owner:
            del self.owners[owner.service]
            # Drop the cached row, so that it is read again before it is used.
            self._views.forget(owner.service)

    # Messages to the owner ---------------------------------------------------------

    def notify_job(self, service, row):
        """Notify the owner of a stored job."""
        if service in self.owners:
            self.owners[service].add_job(row)
            return
        self._notify_owner(service, JobNotice(service, row))

    def notify_cancel(self, service, job):
        """Notify the owner of a stored cancellation."""
        if service in self.owners:
            self.owners[service].cancel_jobs((job,))
            return
        self._notify_owner(service, CancelNotice(service, job))

    def notify_early_cancels(self, jobs):
        """Notify the owners of all services of cancelled jobs that were not found."""
        for owner in self.owners.values():
            owner.cancel_jobs(jobs)
        rows = [self.view(each).row for each in self._watches]
        addresses = {row.address for row in rows if row is not None}
        for address in sorted(addresses - {self.identity.address}):
            self._spawn(
                self.peers.ask(address, EarlyCancelNotice(jobs), PING_TIMEOUT_S)
            )

    def _notify_owner(self, service, message):
        row = self.view(service).row
        if row is not None and row.address != self.identity.address:
            self._spawn(self.peers.ask(row.address, message, PING_TIMEOUT_S))

    async def ask_state(self, service, job):
        """Return a job's state; None if the owner does not know it or did not reply."""
        if service in self.owners:
            return self.owners[service].shard.get_state(job)
        reply = await self._ask_owner(service, StateQuery(service, job))
        return reply.state if isinstance(reply, StateReply) else None

    async def ask_waiting(self, service):
        """Return the number of waiting jobs by queue; None if the owner gave none."""
        if service in self.owners:
            return self.owners[service].count_waiting()
        reply = await self._ask_owner(service, WaitingQuery(service))
        return reply.counts if isinstance(reply, WaitingReply) else None

    async def ask_placement(self, record):
        """Return where a job would start; None if the owner gave no explanation."""
        service = record.policy.service
        if service in self.owners:
            return self.owners[service].explain_placement(record)
        reply = await self._ask_owner(service, PlacementQuery(record))
        return reply.explanation if isinstance(reply, PlacementReply) else None

    async def write_through_owner(self, write):
        """Have the owner commit a submission; None if this instance has to do it."""
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

    # Messages from peers -------------------------------------------------------------

    async def answer(self, message):
        """Return the reply to a peer's message about ownership or jobs."""
        return await answer_message(message, self)

    def answer_ping(self, ping):
        """Return the state of this instance, and note that the peer is alive."""
        now_s = self.clock.monotonic()
        self.known_members.observe(
            Member(ping.address, ping.domain, ping.region, ping.strength)
        )
        self.silence.note_report(ping.address, ping.store, now_s)
        members, digest = self.known_members.report(ping.known_members)
        return Pong(
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            owned={name: owner.row.token for name, owner in self.owners.items()},
            heard_ago_s=self._views.export_silences_s(now_s),
            live_members=members,
            members_digest=digest,
            store=self.silence.make_report(),
            loads=self._export_loads(now_s),
        )

    async def accept_handover(self, message):
        """Take a service over from an owner that is stopping."""
        self.update_view(message.service, message.row, message.version)
        view = self.view(message.service)
        if view.version != message.version:
            return Acknowledgement(False)
        stopped_s = self.clock.monotonic() + HANDOVER_TIMEOUT_S
        claimed = await self._claim(view, 0.0, stopped_s, was_handed_over=True)
        return Acknowledgement(claimed)

    async def hand_over(self):
        """Hand all services over to other instances before this one stops."""
        self.stopping = True
        for service, owner in list(self.owners.items()):
            await owner.prepare_handover()
            owner.stop_granting_at(self.clock.monotonic() + HANDOVER_TIMEOUT_S)
            for address in self.known_members.strongest_first():
                message = Handover(service, owner.row, owner.version)
                reply = await self.peers.ask(address, message, HANDOVER_TIMEOUT_S)
                if isinstance(reply, Acknowledgement) and reply.done:
                    self.log.info(
                        "handed over", extra={"service": service, "to": address}
                    )
                    break
            owner.relinquish("instance is stopping")
