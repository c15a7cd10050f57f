"""Tests of membership with a manual clock and direct message delivery."""

import random

import msgspec

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import Member, Membership
from fuchsiascale.platform import ListedInstance
from fuchsiascale.states import InstanceRole, ListedState, PeerState
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

WORKER = "worker-1"


class Cluster:
    """Memberships that share a clock.

    A disconnected instance neither receives nor sends, and calls to it fail. A
    silent one neither receives nor sends either, but calls to it are still open.
    """

    def __init__(self, domains=("porto",), size=4):
        self.clock = ManualClock(start_s=100.0, wall_start_ms=1_000_000)
        self.random = random.Random(11)
        self.nodes = {}
        self.disconnected = set()
        self.silent = set()
        for domain in domains:
            for number in range(size):
                self.add(f"{domain}-{number}", domain)

    def add(self, name, domain="porto"):
        """Add an instance, or replace its process by a new one."""
        member = Member(
            instance=name, address=name, failure_domain=domain, region="norte"
        )
        self.nodes[name] = Membership(
            member, self.clock, random.Random(self.random.random())
        )
        return self.nodes[name]

    def list_all(self, state=ListedState.LIVE, upstreams=(WORKER,)):
        """Return the list of all instances and some workers."""
        entries = [make_entry(name, InstanceRole.ENTRY) for name in self.nodes]
        workers = [make_entry(name, InstanceRole.WORKER, state) for name in upstreams]
        return tuple(entries + workers)

    def read_list(self, listed=None):
        """Pass the list to each connected instance."""
        for name, node in self.nodes.items():
            if name not in self.disconnected:
                node.observe_list(listed or self.list_all())

    def exchange(self, name, address):
        """Deliver one heartbeat and its reply."""
        node = self.nodes[name]
        heartbeat = node.heartbeat()
        if self.disconnected & {name, address} or address not in self.nodes:
            node.observe_failure(address)
            return
        if self.silent & {name, address}:
            return
        node.observe_reply(self.nodes[address].observe_heartbeat(heartbeat))

    def run(self, seconds):
        """Advance the clock by some seconds, with one heartbeat round in each."""
        for _ in range(seconds):
            self.clock.advance(1.0)
            for name, node in list(self.nodes.items()):
                for address in (
                    node.choose_targets() if name not in self.disconnected else ()
                ):
                    self.exchange(name, address)

    def deliver_announcements(self):
        """Deliver unconfirmed announcements, outside the heartbeat rounds."""
        for name, node in list(self.nodes.items()):
            for address in node.list_unconfirmed_addresses():
                self.exchange(name, address)


def make_entry(name, role, state=ListedState.LIVE):
    return ListedInstance(
        instance_id=name,
        role=role,
        address=name,
        failure_domain=name.rpartition("-")[0] if role is InstanceRole.ENTRY else "",
        region="norte",
        state=state,
    )


def list_members(node):
    return {member.instance for member in node.view().members}


@fixture
def cluster():
    started_cluster = Cluster()
    started_cluster.read_list()
    started_cluster.run(10)
    yield started_cluster


def test_all_members_discover_each_other(cluster):
    for node in cluster.nodes.values():
        assert list_members(node) == set(cluster.nodes)


def test_an_unreachable_member_is_gone_until_it_answers_again(cluster):
    cluster.disconnected.add("porto-3")
    cluster.run(10)
    assert cluster.nodes["porto-0"].state_of("porto-3") is PeerState.GONE
    assert "porto-3" not in list_members(cluster.nodes["porto-0"])
    cluster.disconnected.clear()
    cluster.run(10)
    assert list_members(cluster.nodes["porto-0"]) == set(cluster.nodes)
    assert list_members(cluster.nodes["porto-3"]) == set(cluster.nodes)


def test_a_silent_member_without_failed_calls_is_suspect_then_gone(cluster):
    cluster.silent.add("porto-3")
    states = []
    for _ in range(30):
        cluster.run(1)
        states.append(cluster.nodes["porto-0"].state_of("porto-3"))
    assert PeerState.SUSPECT in states
    assert states[-1] is PeerState.GONE
    assert "porto-3" not in list_members(cluster.nodes["porto-0"])


def test_live_members_never_count_as_gone():
    cluster = Cluster(size=8)
    cluster.read_list()
    cluster.run(15)
    for _ in range(300):
        cluster.run(1)
        for node in cluster.nodes.values():
            assert len(list_members(node)) == 8


def test_a_listed_instance_that_never_answers_is_not_a_member(cluster):
    listed = (*cluster.list_all(), make_entry("porto-9", InstanceRole.ENTRY))
    cluster.read_list(listed)
    cluster.run(30)
    assert "porto-9" not in list_members(cluster.nodes["porto-0"])


def test_a_leaving_mark_reaches_all_members_in_one_round(cluster):
    for node in cluster.nodes.values():
        assert WORKER not in node.view().leaving
    cluster.nodes["porto-2"].mark_leaving([WORKER])
    cluster.deliver_announcements()
    for node in cluster.nodes.values():
        assert WORKER in node.view().leaving


def test_a_mark_is_sent_again_until_it_is_confirmed(cluster):
    cluster.disconnected.add("porto-1")
    cluster.nodes["porto-2"].mark_leaving([WORKER])
    cluster.deliver_announcements()
    assert WORKER not in cluster.nodes["porto-1"].view().leaving
    cluster.disconnected.clear()
    cluster.run(1)
    assert WORKER in cluster.nodes["porto-1"].view().leaving
    assert cluster.nodes["porto-2"].list_unconfirmed_addresses() == ()


def test_a_lagging_list_does_not_remove_a_mark(cluster):
    cluster.nodes["porto-2"].mark_leaving([WORKER])
    for _ in range(10):
        cluster.run(1)
        cluster.read_list()
    for node in cluster.nodes.values():
        assert WORKER in node.view().leaving


def test_an_unreachable_list_keeps_marks_and_upstreams(cluster):
    cluster.nodes["porto-2"].mark_leaving([WORKER])
    cluster.run(3_600)
    view = cluster.nodes["porto-0"].view()
    assert WORKER in view.leaving
    assert [entry.instance_id for entry in view.upstreams] == [WORKER]
    assert not view.listed


def test_a_mark_is_removed_once_the_list_shows_the_upstream_live_long_enough(cluster):
    cluster.nodes["porto-2"].mark_leaving([WORKER])
    for _ in range(90):
        cluster.run(1)
        cluster.read_list()
    for node in cluster.nodes.values():
        assert WORKER not in node.view().leaving


def test_upstreams_listed_as_leaving_to_one_member_are_marked_by_all(cluster):
    listed = cluster.list_all(state=ListedState.LEAVING)
    cluster.nodes["porto-0"].observe_list(listed)
    cluster.deliver_announcements()
    for node in cluster.nodes.values():
        assert WORKER in node.view().leaving


def test_a_leaving_instance_stops_being_a_member_at_once(cluster):
    cluster.nodes["porto-0"].update(state=PeerState.LEAVING)
    cluster.deliver_announcements()
    for name, node in cluster.nodes.items():
        assert name == "porto-0" or "porto-0" not in list_members(node)


def test_a_new_process_under_the_same_name_replaces_the_old(cluster):
    cluster.clock.advance(1.0)
    cluster.add("porto-0")
    cluster.run(10)
    assert list_members(cluster.nodes["porto-0"]) == set(cluster.nodes)
    assert cluster.nodes["porto-1"].state_of("porto-0") is PeerState.ALIVE


def test_a_new_process_with_an_earlier_wall_clock_replaces_the_old(cluster):
    old = cluster.nodes["porto-0"].digest()
    node = cluster.add("porto-0")
    node.update(incarnation=old.incarnation - 5_000)
    cluster.run(10)
    assert cluster.nodes["porto-1"].state_of("porto-0") is PeerState.ALIVE
    assert node.digest().incarnation > old.incarnation
    assert not node.superseded()


def test_a_paused_process_that_was_replaced_detects_that_it_is_superseded(cluster):
    cluster.run(10)
    paused = cluster.nodes["porto-0"]
    cluster.clock.advance(1.0)
    cluster.add("porto-0")
    cluster.run(10)
    reply = cluster.nodes["porto-1"].observe_heartbeat(paused.heartbeat())
    paused.observe_reply(reply)
    assert paused.superseded()


def test_a_paused_process_does_not_treat_the_others_as_gone(cluster):
    paused = cluster.nodes.pop("porto-0")
    cluster.run(60)
    assert len(list_members(paused)) == 4
    cluster.run(11)
    cluster.nodes["porto-0"] = paused
    cluster.run(5)
    assert list_members(cluster.nodes["porto-1"]) == set(cluster.nodes)


def test_other_domains_are_peers_until_they_fail():
    cluster = Cluster(domains=("porto", "braga"), size=3)
    cluster.read_list()
    cluster.run(30)
    node = cluster.nodes["porto-0"]
    assert len(node.view().peers) == 3
    cluster.disconnected.update(
        name for name in cluster.nodes if name.startswith("braga")
    )
    cluster.run(120)
    assert node.view().peers == ()
    assert len(node.view().members) == 3
    cluster.disconnected.clear()
    cluster.run(60)
    assert len(node.view().peers) == 3


def test_an_announcement_everywhere_is_sent_to_one_peer_of_each_other_domain():
    cluster = Cluster(domains=("porto", "braga", "faro"), size=3)
    cluster.read_list()
    cluster.run(30)
    node = cluster.nodes["porto-0"]
    node.update(revision=7)
    node.announce(everywhere=True)
    addresses = node.list_unconfirmed_addresses()
    domains = sorted(address.rpartition("-")[0] for address in addresses)
    assert domains == ["braga", "faro", "porto", "porto"]


def test_entries_of_silent_peers_are_dropped(cluster):
    cluster.disconnected.add("porto-3")
    for _ in range(40):
        cluster.run(10)
        cluster.read_list(cluster.list_all()[:3])
    assert "porto-3" not in {m.instance for m in cluster.nodes["porto-0"].entries()}


def test_a_remote_peer_is_contacted_at_its_listed_address():
    cluster = Cluster(domains=("porto", "faro"), size=1)
    local_node, remote_node = cluster.nodes["porto-0"], cluster.nodes["faro-0"]
    entry = make_entry("faro-0", InstanceRole.ENTRY)
    local_node.observe_list((msgspec.structs.replace(entry, address="relay"),))
    local_node.observe_heartbeat(remote_node.heartbeat())
    assert [peer.address for peer in local_node.view().peers] == ["relay"]
    assert local_node.choose_peer() == "relay"


def test_a_view_stays_the_same_object_until_something_changes(cluster):
    cluster.read_list()
    node = cluster.nodes["porto-0"]
    view = node.view()
    cluster.run(5)
    assert node.view() is view
    node.mark_leaving([WORKER])
    assert node.view() is not view
    assert WORKER in node.view().leaving


def test_runners_on_a_cordoned_worker_count_as_leaving(cluster):
    runner = make_entry("runner-1", InstanceRole.RUNNER)
    runner = msgspec.structs.replace(runner, worker=WORKER)
    cluster.read_list((*cluster.list_all(), runner))
    node = cluster.nodes["porto-0"]
    node.cordon([WORKER])
    assert node.view().leaving == {WORKER, "runner-1"}
    node.cordon([])
    assert node.view().leaving == set()
