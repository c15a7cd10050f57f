"""Measures placement decisions per second on one core.

Compares the index of free resources with scans of all workers.
"""

import time
from random import Random

from fuchsiascale.decisions import (
    FreeIndex,
    PlacementRequest,
    WorkerFree,
    place_tasks,
)
from fuchsiascale.platform import Resources
from measurements._report import (
    Report,
    make_figure,
    make_ratio_figure,
    register_measurement,
)

SIZES = (33, 935, 29_000)
SERVICES = ((), ("hub",), ("hub", "ledger"), ("ledger",))
KINDS = ("archive", "review", "watch")
FILL_FRACTION = 0.7
SEED = 5
DECISIONS = 4_000
TIME_LIMIT_S = 4.0


def make_index(size, random):
    """Return an index of workers of three sizes, filled to about ``FILL_FRACTION``."""
    index = FreeIndex()
    for number in range(size):
        cores, memory_gb, accelerators = random.choice(
            ((16, 63, 0), (32, 125, 0), (64, 250, 4))
        )
        free_fraction = 1.0 - FILL_FRACTION * random.uniform(0.6, 1.4)
        free = Resources(
            millicores=int(cores * 1000 * free_fraction),
            memory_mb=int(memory_gb * 1000 * free_fraction),
            accelerators=random.randint(0, accelerators),
        )
        index.put(
            WorkerFree(
                worker=f"w{number}",
                free=free,
                services=SERVICES[number % len(SERVICES)],
                pressure=random.randint(0, 2),
            )
        )
    return index


def draw_request(random, number):
    """Return a placement request of random size."""
    return PlacementRequest(
        task=f"t{number}",
        kind=random.choice(KINDS),
        demand=Resources(
            millicores=random.choice((250, 500, 1_000, 2_000, 4_000)),
            memory_mb=random.choice((256, 1_000, 4_000)),
            accelerators=1 if random.random() < 0.02 else 0,
        ),
    )


def expect_slowdown(services, kind):
    """Return a slowdown that depends on the services and the kind."""
    return 1.0 + 0.1 * len(services) + 0.02 * len(kind)


def measure_decision_us(policy, size):
    """Return the processor time per decision at a steady fill, in microseconds."""
    random = Random(SEED)
    index = make_index(size, random)
    placed = []
    requests = [draw_request(random, number) for number in range(DECISIONS)]
    begin_s = time.process_time()
    decisions = 0
    for request in requests:
        (placement,) = place_tasks(
            index, [request], random, expect_slowdown, policy=policy
        )
        decisions += 1
        if placement.worker is not None:
            placed.append((placement.worker, request.demand))
        if len(placed) > size // 2:
            chosen = int(random.random() * len(placed))
            placed[chosen], placed[-1] = placed[-1], placed[chosen]
            index.release(*placed.pop())
        if decisions % 50 == 0 and time.process_time() - begin_s > TIME_LIMIT_S:
            break
    return (time.process_time() - begin_s) / decisions * 1e6


@register_measurement("placement_rate", "Placement decisions a second")
def run():
    """Time the index and two scans at three fleet sizes."""
    costs_us = {size: measure_decision_us("least_interference", size) for size in SIZES}
    figures = []
    for size in SIZES:
        best_fit_us = measure_decision_us("best_fit", size)
        first_fit_us = measure_decision_us("first_fit", size)
        target = {"at_least": 2_000} if size == 935 else {}
        rate = 1e6 / costs_us[size]
        figures.append(
            make_figure(
                f"decisions/s, {size:,} workers",
                rate,
                baseline=1e6 / best_fit_us,
                **target,
            )
        )
        figures.append(
            make_ratio_figure(
                f"µs a decision, {size:,} workers, to first fit",
                first_fit_us,
                costs_us[size],
            )
        )
    growth = make_ratio_figure(
        "µs a decision, 29,000 workers to 33",
        costs_us[SIZES[0]],
        costs_us[SIZES[-1]],
        at_most=3.0,
    )
    return Report(
        baseline="best fit by a scan of all workers (first fit beside it)",
        setting=f"{DECISIONS:,} decisions a size at {FILL_FRACTION:.0%} fill, each "
        f"with commit and release, processor time of one core, seed {SEED}",
        figures=(*figures, growth),
    )
