"""Measures the load sent while half the runners fail, against three attempts each."""

from random import Random

from fuchsiascale.decisions import (
    LatencyEstimate,
    RetryBudget,
    RunnerLoad,
    choose_runner,
    is_failing,
    observe_failure,
    observe_latency,
    plan_retry,
    record_request,
)
from fuchsiascale.states import Outcome
from measurements._report import Report, make_figure, register_measurement

RUNNERS = 24
FAILING_RUNNERS = 12
REQUESTS = 50_000
LATENCY_MS = 20.0
DEADLINE_MS = 2_000.0
RATE_PER_S = 1_000.0
FIXED_ATTEMPTS = 3
SEED = 5


class Fleet:
    """Runners, the first ``FAILING_RUNNERS`` of which fail every request."""

    def __init__(self, policy):
        self.random, self.policy = Random(SEED), policy
        self.estimates = [LatencyEstimate()] * RUNNERS
        self.sends = self.done = 0

    def send(self, turn, now_s):
        """Send a request once; return whether it succeeded."""
        loads = [
            RunnerLoad(
                runner=str(number),
                credits=8,
                latency_ms=estimate.mean_ms,
                failing=self.policy == "two_choices" and is_failing(estimate, now_s),
            )
            for number, estimate in enumerate(self.estimates)
        ]
        chosen = choose_runner(loads, self.random, self.policy, turn)
        number = int(chosen.runner)
        self.sends += 1
        if number < FAILING_RUNNERS:
            failed = observe_failure(self.estimates[number], now_s)
            self.estimates[number] = failed
            return False
        sample_ms = LATENCY_MS * self.random.uniform(0.8, 1.2)
        self.estimates[number] = observe_latency(
            self.estimates[number], sample_ms, now_s
        )
        self.done += 1
        return True


def run_fixed(policy):
    """Send each request up to ``FIXED_ATTEMPTS`` times."""
    fleet = Fleet(policy)
    turn = 0
    for number in range(REQUESTS):
        for _ in range(FIXED_ATTEMPTS):
            turn += 1
            if fleet.send(turn, number / RATE_PER_S):
                break
    return fleet


def run_budgeted(policy):
    """Retry each request within the retry budget."""
    fleet, budget, turn = Fleet(policy), RetryBudget(), 0
    for number in range(REQUESTS):
        budget = record_request(budget)
        sends = 0
        while True:
            turn += 1
            sends += 1
            if fleet.send(turn, number / RATE_PER_S):
                break
            plan = plan_retry(
                budget,
                fleet.random,
                idempotent=True,
                outcome=Outcome.NOT_RUN,
                sends=sends,
                left_ms=DEADLINE_MS,
                needed_ms=LATENCY_MS,
            )
            budget = plan.budget
            if not plan.retry:
                break
    return fleet


@register_measurement("retries", "Load sent while half the runners fail")
def run():
    """Count sends and successes with random choice and with two choices."""
    fixed, budgeted = run_fixed("random"), run_budgeted("random")
    two_choices = run_budgeted("two_choices")
    return Report(
        baseline=f"random choice, up to {FIXED_ATTEMPTS} tries each",
        setting=f"{FAILING_RUNNERS} of {RUNNERS} runners refuse at once, {REQUESTS:,} "
        f"requests, seed {SEED}",
        figures=(
            make_figure(
                "load sent to fresh load, random choice with the budget",
                budgeted.sends / REQUESTS,
                baseline=fixed.sends / REQUESTS,
                at_most=1.1,
            ),
            make_figure(
                "load sent to fresh load, two choices with the budget",
                two_choices.sends / REQUESTS,
                baseline=fixed.sends / REQUESTS,
                at_most=1.1,
            ),
            make_figure(
                "requests done, random choice with the budget",
                budgeted.done / REQUESTS,
                baseline=fixed.done / REQUESTS,
            ),
            make_figure(
                "requests done, two choices with the budget",
                two_choices.done / REQUESTS,
                baseline=fixed.done / REQUESTS,
            ),
        ),
    )
