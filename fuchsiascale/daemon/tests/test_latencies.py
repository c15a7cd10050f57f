"""Tests of the latencies that are reported to shard owners."""

from fuchsiascale.daemon._latencies import group_latencies
from fuchsiascale.pipelines import RunnerLatency
from fuchsiascale.platform import ListedInstance
from fuchsiascale.states import InstanceRole
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def make_latency(number, rack="r1", worker="w"):
    runner = ListedInstance(
        instance_id=f"runner{number}",
        role=InstanceRole.RUNNER,
        address="127.0.0.1:1",
        failure_domain="porto",
        region="norte",
        rack=rack,
        service="hub",
        worker=worker and f"{worker}{number}",
    )
    return RunnerLatency(runner=runner, mean_ms=10.0 * number)


def test_latencies_go_to_the_shard_of_their_worker():
    latencies = (make_latency(1), make_latency(2, "r2"), make_latency(3, worker=""))
    grouped = group_latencies(latencies)
    assert sorted(grouped) == ["porto:r1", "porto:r2"]
    (measured,) = grouped["porto:r2"]
    assert (measured.worker, measured.service) == ("w2", "hub")
    assert measured.latency_ms == 20.0
