"""Tests of the checks of a job against the fleet document."""

from msgspec.structs import replace

from fuchsiascale.coordination import JobSpec, build_fleet, parse_fleet
from fuchsiascale.pipelines import find_fleet_problem
from fuchsiascale.platform import Resources
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

DOCUMENT = """
[team hub]
team = hub
[team small]
team = hub
quota_millicores = 500
quota_memory_mb = 500
[kind review]
team = hub
[domain porto]
team = hub
region = norte
[domain faro]
team = hub
region = sul
[instance porto-1]
team = hub
failure_domain = porto
millicores = 32000
memory_mb = 125000
[instance faro-1]
team = hub
failure_domain = faro
millicores = 16000
memory_mb = 63000
accelerators = 1
"""
VALID_SPEC = JobSpec(
    job="j",
    team="hub",
    kind="review",
    demand=Resources(millicores=32_000, memory_mb=125_000),
)


def test_a_job_that_can_never_run_is_reported_with_its_reason():
    fleet = parse_fleet(DOCUMENT).bind(build_fleet).unwrap()
    table = (
        (VALID_SPEC, ""),
        (replace(VALID_SPEC, failure_domain="porto"), ""),
        (replace(VALID_SPEC, team="absent"), "[team absent]"),
        (replace(VALID_SPEC, kind="absent"), "[kind absent]"),
        (replace(VALID_SPEC, failure_domain="absent"), "[domain absent]"),
        (replace(VALID_SPEC, failure_domain="faro"), "in faro"),
        (replace(VALID_SPEC, team="small"), "quota of team small"),
        (replace(VALID_SPEC, demand=Resources(millicores=32_001)), "demand"),
        (replace(VALID_SPEC, demand=Resources(memory_mb=125_001)), "demand"),
        (replace(VALID_SPEC, demand=Resources(accelerators=2)), "demand"),
        (
            replace(VALID_SPEC, demand=VALID_SPEC.demand + Resources(accelerators=1)),
            "demand",
        ),
    )
    for spec, named in table:
        problem = find_fleet_problem(spec, fleet)
        assert named in problem, (spec, problem)
        assert bool(problem) == bool(named), (spec, problem)
