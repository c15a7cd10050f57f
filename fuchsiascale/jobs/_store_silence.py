"""Whether the store is silent, judged by calls in progress, answers and peers.

The load: a store that accepts connections and answers nothing for some seconds during a
burst of submissions. What is sent to it meanwhile has an unknown outcome, so what isn't
sent yet is refused. Three other states look similar to one instance and must not be
taken for silence: a slow store, whose answers take 0.2 to 0.4 s instead of 4 ms; an
instance that is overloaded or was suspended, which reads its answers late; and a
saturated link of this instance, which delays them. Therefore:

* only reads and polls are judged, since commits queue in a partition for over a second;
* the bound rises with the time that recent answers took;
* time counts only as far as this process was running, in steps of its own timer;
* a peer must report calls without an answer too, and none an answer.
"""

import math

import msgspec

__all__ = ["StoreSilence", "StoreReport"]

TICK_S = 0.05
"""Period at which `StoreSilence.tick` is to be called."""
MAX_TICK_S = 0.1
"""Longest time that one tick adds. A process that was suspended or overloaded for
longer has had no chance to read answers in the meantime."""
MIN_BOUND_S = 0.8
"""Time without an answer after which the store counts as silent; twice the time of the
slowest answers of a slow store."""
MAX_BOUND_S = 2.0
"""Upper limit of the bound while answers are slow."""
BOUND_FACTOR = 2.5
"""The bound is at least this multiple of the slowest recent answer."""
ALONE_BOUND_S = 2.0
"""The bound of an instance that knows no peers, whose delay may be its own."""
MIN_CALLS = 2
"""Calls that must be without an answer: the answer to a single one may be lost."""
SUSPICION_S = 0.15
"""Time without an answer after which submissions are held; usual answers take 5 ms."""
SUSPICION_FACTOR = 1.5
"""Submissions are held for at least this multiple of the slowest recent answer."""
CONFIRMATION_S = 0.3
"""Time without an answer at a peer which confirms the silence."""
REPORT_AGE_S = 1.0
"""Age up to which a peer's report counts; pings are sent every 0.3 s."""
PEER_MEMORY_S = 15.0
"""Time after the last report of a peer during which this instance isn't alone."""
PROBE_AFTER_S = 0.1
"""Time without an answer to any call after which the store is probed."""
PROBE_PERIOD_S = 0.3
"""Minimum time between two probes."""
CLOCK_MARGIN_S = TICK_S
"""Accuracy of the times of calls, which are those of the last tick."""
HALF_LIFE_S = 3.0
"""Time in which the slowest recent answer loses half its weight."""


class StoreReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance itself has seen of the store.

    Parameters
    ----------
    answered_ago_s : float or None
        Time since the last answer to a call of this instance; None before the first.
    heard_ago_s : float or None
        Time since the last answer to a call of any peer that reported one directly.
    unanswered_s : float
        For how long the calls of this instance have had no answer.
    """

    answered_ago_s: float | None = None
    heard_ago_s: float | None = None
    unanswered_s: float = 0.0


class _Call:
    """A call in progress; ``due`` is when an answer is expected at the latest."""

    __slots__ = ("began", "due", "is_judged", "was_answered")

    def __init__(self, began, due, is_judged):
        self.began = began
        self.due = due
        self.is_judged = is_judged
        self.was_answered = False


class _PeerReport(msgspec.Struct, frozen=True):
    """The calls of a peer without an answer, and when it reported them."""

    received_s: float
    unanswered_s: float


class StoreSilence:
    """Judges whether the store is silent.

    Without calls of `tick` no time passes for it, and it concludes nothing.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    is_silent : bool
        Whether the store is taken for silent.
    count : int
        Number of times that it was.
    evidence : dict
        Evidence of the last conclusion, for the log.
    """

    def __init__(self, clock):
        self.clock = clock
        self.is_silent = False
        self.count = 0
        self.evidence = {}
        self._running_s = 0.0
        self._ticked_s = None
        self._calls = set()
        self._answered_s = -math.inf
        self._answered_running_s = 0.0
        # Last answers to peers: as they reported themselves, and by others.
        self._heard_s = -math.inf
        self._told_s = -math.inf
        self._failed_dues = []
        self._slowest_s = 0.0
        self._probed_s = -math.inf
        self._reports = {}
        self._silent_since_s = None

    # Observations --------------------------------------------------------------------

    def note_call(self, held_s=0.0, is_judged=True):
        """Note that a call begins, and return it.

        Parameters
        ----------
        held_s : float, optional
            How long the store may hold the call open before it answers.
        is_judged : bool, optional
            False for a commit, which may wait for others in its partition.
        """
        call = _Call(self._running_s, self._running_s + held_s, is_judged)
        self._calls.add(call)
        return call

    def note_answer(self, call):
        """Note that a part of the answer to a call has arrived."""
        if call.is_judged and not self.is_silent:
            took_s = min(self._running_s - call.due, MAX_BOUND_S / BOUND_FACTOR)
            self._slowest_s = max(self._slowest_s, took_s)
        call.due, call.was_answered = self._running_s, True
        self._answered_s = self.clock.monotonic()
        self._answered_running_s = self._running_s
        self._failed_dues.clear()
        self.is_silent = False

    def note_end(self, call):
        """Note that a call has ended; without an answer it stays evidence."""
        self._calls.discard(call)
        if self._is_evidence(call):
            self._failed_dues.append(call.due)
            # The first is the earliest; more than are needed for a proof aren't kept.
            del self._failed_dues[MIN_CALLS:]

    def note_report(self, address, report, earliest_s):
        """Note what a peer has seen of the store.

        Parameters
        ----------
        address : str
            The peer.
        report : StoreReport or None
            Its report; None from a peer of an earlier version.
        earliest_s : float
            A time at which the report was not made yet.
        """
        if report is None:
            return
        now_s = self.clock.monotonic()
        answered_s = _subtract_age(earliest_s, report.answered_ago_s)
        told_s = _subtract_age(earliest_s, report.heard_ago_s)
        self._heard_s = max(self._heard_s, answered_s)
        self._told_s = max(self._told_s, told_s)
        self._reports[address] = _PeerReport(now_s, report.unanswered_s)
        self._end_if_answered()

    def note_relayed_answer(self, address, asked_s):
        """Note that a peer has passed on an answer of the store to a call."""
        self.note_report(address, StoreReport(answered_ago_s=0.0), asked_s)

    def tick(self):
        """Count the time that has passed, and judge; return whether silence began."""
        now_s = self.clock.monotonic()
        if self._ticked_s is not None:
            passed_s = min(now_s - self._ticked_s, MAX_TICK_S)
            self._running_s += passed_s
            self._slowest_s *= 0.5 ** (passed_s / HALF_LIFE_S)
        self._ticked_s = now_s
        for address, report in list(self._reports.items()):
            if now_s - report.received_s > PEER_MEMORY_S:
                del self._reports[address]
        self._end_if_answered()
        if self.is_silent or not self._is_proven(now_s):
            return False
        self.is_silent = True
        self.count += 1
        self._silent_since_s = max(now_s - self.unanswered_s(), self._last_answer_s())
        self.evidence = self._describe_evidence(now_s)
        return True

    # Conclusions ---------------------------------------------------------------------

    def unanswered_s(self):
        """Return for how long reads and polls of this instance have had no answer."""
        dues = self._list_dues()
        return max(0.0, self._running_s - min(dues)) if dues else 0.0

    def silent_for_s(self):
        """Return for how long the store has been silent; 0 if it isn't."""
        if not self.is_silent:
            return 0.0
        return self.clock.monotonic() - self._silent_since_s

    def is_suspect(self):
        """Return whether answers are overdue here or at a peer, and none has come.

        What is not sent yet is then held, as it may have to be refused. An instance
        that the store turns away, or whose link fails, has no answer either, but others
        have had some since.
        """
        if self.is_silent:
            return True
        now_s, answered_s = self.clock.monotonic(), self._last_answer_s()
        threshold_s = max(SUSPICION_S, SUSPICION_FACTOR * self._slowest_s)
        if now_s - answered_s < threshold_s:
            return False
        waits = [(now_s, self.unanswered_s())]
        waits += [
            (report.received_s, report.unanswered_s)
            for report in self._recent_reports(now_s)
        ]
        return any(
            unanswered_s >= threshold_s
            and seen_s - unanswered_s >= answered_s - CLOCK_MARGIN_S
            for seen_s, unanswered_s in waits
        )

    def is_probe_due(self):
        """Return whether the store should be probed now, and note that it is."""
        now_s = self.clock.monotonic()
        is_overdue = self.is_silent or any(
            self._running_s - max(call.due, self._answered_running_s) >= PROBE_AFTER_S
            for call in self._calls
        )
        if (
            not (is_overdue or self._failed_dues or self.is_suspect())
            or now_s - self._probed_s < PROBE_PERIOD_S
        ):
            return False
        self._probed_s = now_s
        return True

    def make_report(self):
        """Return what this instance has seen and was told first-hand, for its peers."""
        now_s = self.clock.monotonic()
        return StoreReport(
            answered_ago_s=_measure_age(now_s, self._answered_s),
            heard_ago_s=_measure_age(now_s, self._heard_s),
            unanswered_s=round(self.unanswered_s(), 3),
        )

    def _is_evidence(self, call):
        """Return whether a call is overdue, and nothing was answered since it began."""
        return (
            call.is_judged
            and not call.was_answered
            and self._answered_running_s <= call.began
            and call.due <= self._running_s
        )

    def _list_dues(self):
        dues = [call.due for call in self._calls if self._is_evidence(call)]
        return dues + self._failed_dues

    def _last_answer_s(self):
        """Return when the store last answered this instance or a peer."""
        return max(self._answered_s, self._heard_s, self._told_s)

    def _recent_reports(self, now_s):
        return [
            report
            for report in self._reports.values()
            if now_s - report.received_s <= REPORT_AGE_S
        ]

    def _bound_s(self):
        if not self._reports:
            return ALONE_BOUND_S
        return min(MAX_BOUND_S, max(MIN_BOUND_S, BOUND_FACTOR * self._slowest_s))

    def _is_proven(self, now_s):
        bound_s = self._bound_s()
        if self.unanswered_s() < bound_s or len(self._list_dues()) < MIN_CALLS:
            return False
        if now_s - self._last_answer_s() < bound_s:
            return False
        return not self._reports or any(
            report.unanswered_s >= CONFIRMATION_S
            for report in self._recent_reports(now_s)
        )

    def _end_if_answered(self):
        """End the silence once a peer reports an answer that came after it began."""
        if self.is_silent and self._last_answer_s() > self._silent_since_s:
            self.is_silent = False

    def _describe_evidence(self, now_s):
        reports = self._recent_reports(now_s)
        return {
            "unanswered_s": round(self.unanswered_s(), 3),
            "calls": len(self._list_dues()),
            "bound_s": round(self._bound_s(), 3),
            "answered_ago_s": _measure_age(now_s, self._last_answer_s()),
            "peers_unanswered_s": max(
                (report.unanswered_s for report in reports), default=None
            ),
            "peer_report_age_s": min(
                (round(now_s - report.received_s, 3) for report in reports),
                default=None,
            ),
        }


def _measure_age(now_s, then_s):
    """Return the time since ``then_s`` as sent to peers; None if it never was."""
    return round(now_s - then_s, 3) if math.isfinite(then_s) else None


def _subtract_age(now_s, age_s):
    """Return the time of something that old; infinitely long ago for None."""
    return -math.inf if age_s is None else now_s - age_s
