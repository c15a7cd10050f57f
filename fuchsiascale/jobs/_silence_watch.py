"""Probes of a store that does not answer, and the log of what follows from them."""

import asyncio

import logbook

from fuchsiascale.jobs._store_silence import TICK_S

__all__ = ["SilenceWatch"]


class SilenceWatch:
    """Drives a `StoreSilence`: its timer, its probes, and its log.

    Parameters
    ----------
    store : RelayedStore
        The store, whose direct calls are noted with ``silence``.
    silence : StoreSilence
        What is known of the calls to the store.
    table : str
        Table that the probes read.
    on_silent : callable
        Called when silence has been concluded.
    """

    def __init__(self, store, silence, table, on_silent):
        self.silence = silence
        self.log = logbook.Logger("store")
        self._store = store
        self._table = table
        self._on_silent = on_silent
        self._probes = set()

    async def run(self):
        """Judge and probe until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_S)
                self._check()
        finally:
            for probe in self._probes:
                probe.cancel()

    def _check(self):
        silence = self.silence
        was_logged = bool(silence.evidence)
        if silence.tick():
            self.log.warning("store silent", extra=silence.evidence)
            self._on_silent()
        elif was_logged and not silence.is_silent:
            silence.evidence = {}
            report = silence.make_report()
            self.log.warning(
                "store no longer silent",
                extra={"answered_ago_s": report.answered_ago_s},
            )
        if silence.is_probe_due():
            probe = asyncio.create_task(self._store.probe(self._table))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)
