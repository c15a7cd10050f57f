"""Measures the tail latency with one slow runner, against round robin."""

from random import Random
from statistics import median

from fuchsiascale.decisions import (
    LatencyEstimate,
    RunnerLoad,
    choose_runner,
    estimate_latency,
    observe_latency,
)
from measurements._loop import EventLoop, LatencyRecorder, draw_service_ms
from measurements._report import (
    Report,
    make_figure,
    make_ratio_figure,
    register_measurement,
)

RUNNERS = 11
INSTANCES = 2
SLOTS = 8
CONNECTIONS = 64
SERVICE_MS = 20.0
SLOW_FACTOR = 10.0
LOAD = 0.8
WARM_UP_MS = 5_000.0
END_MS = 35_000.0
SEED = 5


class Runner:
    """A runner that serves ``SLOTS`` requests at a time and queues the others."""

    def __init__(self, loop, random, mean_ms):
        self.loop, self.random, self.mean_ms = loop, random, mean_ms
        self.busy_slots, self.waiting = 0, []

    def send(self, finish):
        """Accept a request; call ``finish`` when it has been served."""
        self.waiting.append(finish)
        self._serve()

    def _serve(self):
        while self.waiting and self.busy_slots < SLOTS:
            self.busy_slots += 1
            finish = self.waiting.pop(0)
            service_ms = draw_service_ms(self.random, self.mean_ms)
            self.loop.call_later(service_ms, self._complete, finish)

    def _complete(self, finish):
        self.busy_slots -= 1
        finish()
        self._serve()


class Entry:
    """An instance that routes requests within its share of the credits."""

    def __init__(self, model, policy, credit):
        self.model, self.policy, self.credit = model, policy, credit
        self.in_flight = [0] * RUNNERS
        self.estimates = [LatencyEstimate()] * RUNNERS
        self.waiting, self.turn, self.typical_ms = [], 0, 0.0

    def accept(self, arrived_ms):
        """Queue a request and dispatch as many requests as credits allow."""
        self.waiting.append(arrived_ms)
        self._send()

    def _send(self):
        while self.waiting:
            chosen = choose_runner(
                self._list_loads(), self.model.random, self.policy, self.turn
            )
            if chosen is None:
                return
            self.turn += 1
            self._dispatch(int(chosen.runner), self.waiting.pop(0))

    def _list_loads(self):
        now_s = self.model.loop.now_ms / 1000
        return [
            RunnerLoad(
                runner=str(number),
                credits=self.credit,
                in_flight=self.in_flight[number],
                latency_ms=estimate_latency(estimate, self.typical_ms, now_s),
            )
            for number, estimate in enumerate(self.estimates)
        ]

    def _dispatch(self, number, arrived_ms):
        self.in_flight[number] += 1
        sent_ms = self.model.loop.now_ms

        def finish():
            now_ms = self.model.loop.now_ms
            self.in_flight[number] -= 1
            self.estimates[number] = observe_latency(
                self.estimates[number], now_ms - sent_ms, now_ms / 1000
            )
            if self.turn % 100 == 0:
                self.typical_ms = median(entry.mean_ms for entry in self.estimates)
            if arrived_ms >= WARM_UP_MS:
                self.model.latencies.record(now_ms - arrived_ms)
            self._send()

        self.model.runners[number].send(finish)


class Model:
    """Simulates entry instances and runners under Poisson arrivals."""

    def __init__(self, policy, credit, slow_factor=SLOW_FACTOR):
        self.loop, self.random = EventLoop(), Random(SEED)
        self.latencies = LatencyRecorder()
        means = [SERVICE_MS * slow_factor] + [SERVICE_MS] * (RUNNERS - 1)
        self.runners = [Runner(self.loop, self.random, mean) for mean in means]
        self.entries = [Entry(self, policy, credit) for _ in range(INSTANCES)]

    def run(self):
        """Run the simulation; return the recorder of latencies."""
        self._arrive()
        self.loop.run_until(END_MS)
        return self.latencies

    def _arrive(self):
        self.random.choice(self.entries).accept(self.loop.now_ms)
        rate = LOAD * RUNNERS * SLOTS / SERVICE_MS
        self.loop.call_later(self.random.expovariate(rate), self._arrive)


@register_measurement("routing", "Urgent requests, one runner ten times slower")
def run():
    """Compare two choices with round robin, with and without slot credits."""
    unlimited_round_robin = Model("round_robin", CONNECTIONS // INSTANCES).run()
    round_robin = Model("round_robin", SLOTS // INSTANCES).run()
    two_choices = Model("two_choices", SLOTS // INSTANCES).run()
    without_slow_runner = Model("two_choices", SLOTS // INSTANCES, 1.0).run()
    return Report(
        baseline="round robin over runners with a free connection, which queue",
        setting=f"{RUNNERS} runners of {SLOTS} slots, {INSTANCES} instances, mean "
        f"service {SERVICE_MS:.0f} ms, load {LOAD:.0%} of slots, 30 s, seed {SEED}",
        figures=(
            make_ratio_figure(
                "p99, ms",
                unlimited_round_robin.quantile(99),
                two_choices.quantile(99),
                at_most=0.5,
            ),
            make_ratio_figure(
                "p50, ms", unlimited_round_robin.quantile(50), two_choices.quantile(50)
            ),
            make_ratio_figure(
                "p99, ms, to round robin within slot credits",
                round_robin.quantile(99),
                two_choices.quantile(99),
            ),
            make_figure("p99, ms, no slow runner", without_slow_runner.quantile(99)),
        ),
    )
