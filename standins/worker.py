"""Stand-in of a worker: simulates tasks by timers under a lease."""

import asyncio

import aiohttp
import msgspec

from fuchsiascale.clock import SystemClock
from fuchsiascale.ids import CheckpointKey, WorkerId
from fuchsiascale.platform import (
    ClaimRequest,
    ExchangeRequest,
    Message,
    Resources,
    StartRequest,
)
from standins._server import (
    Standin,
    decode_body,
    encode_answer,
    parse_arguments,
    run_standin,
)
from standins._worker_rules import WorkerRules

__all__ = ["main"]

ADVANCE_INTERVAL_S = 0.02
MEASURE_INTERVAL_S = 0.25
OBJECT_TIMEOUT_S = 2.0
GUARDS_ON = "on"


class CheckpointBody(Message):
    """Body of a checkpoint object: the run time completed so far."""

    done_ms: float


class WorkerStandin:
    """HTTP interface to `WorkerRules`."""

    def __init__(self, options):
        self.standin = Standin(options.worker_id, options)
        self._clock = SystemClock()
        self._usage_lag_ms = options.usage_lag_ms
        self._objects_url = f"http://{options.objects}/v1/objects/"
        self._rules = WorkerRules(
            worker=WorkerId(options.worker_id),
            capacity=Resources(
                millicores=options.millicores,
                memory_mb=options.memory_mb,
                accelerators=options.accelerators,
            ),
            reserved=Resources(
                millicores=options.reserved_millicores,
                memory_mb=options.reserved_memory_mb,
            ),
            guards=options.guards == GUARDS_ON,
            clock=self._clock,
            record=self.standin.journal.record,
            usage_lag_s=options.usage_lag_ms / 1000,
        )
        router = self.standin.app.router
        router.add_post("/v1/claim", self._claim)
        router.add_post("/v1/start", self._start)
        router.add_post("/v1/exchange", self._exchange)
        self.standin.app.cleanup_ctx.append(self._run_background_tasks)

    async def _run_background_tasks(self, app):
        """Keep the client session and the background loops open while serving."""
        timeout = aiohttp.ClientTimeout(total=OBJECT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        tasks = [
            asyncio.create_task(self._run_advance_loop()),
            asyncio.create_task(self._run_measure_loop()),
        ]
        yield
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()

    async def _run_advance_loop(self):
        while True:
            self._apply_faults()
            self._rules.advance()
            await asyncio.sleep(ADVANCE_INTERVAL_S)

    async def _run_measure_loop(self):
        while True:
            self._rules.measure()
            await asyncio.sleep(MEASURE_INTERVAL_S)

    def _apply_faults(self):
        faults = self.standin.faults
        self._rules.leaving = faults.leaving
        self._rules.fail_starts = faults.fail_starts
        self._rules.refuse_starts = faults.refuse_starts
        lag_ms = faults.lag_ms if faults.lag_ms >= 0 else self._usage_lag_ms
        self._rules.usage_lag_s = lag_ms / 1000

    async def _claim(self, request):
        self._apply_faults()
        return encode_answer(
            self._rules.claim(await decode_body(request, ClaimRequest))
        )

    async def _start(self, request):
        message = await decode_body(request, StartRequest)
        keys = {command.checkpoint for command in message.starts} - {None}
        resumed_ms = await self._read_checkpoints(keys)
        self._apply_faults()
        return encode_answer(self._rules.start(message, resumed_ms))

    async def _exchange(self, request):
        message = await decode_body(request, ExchangeRequest)
        self._apply_faults()
        reply = self._rules.exchange(message)
        pending = self._rules.find_pending_checkpoints()
        if not reply.accepted or not pending:
            return encode_answer(reply)
        await asyncio.gather(*(self._store_checkpoint(attempt) for attempt in pending))
        inventory = self._rules.list_inventory()
        return encode_answer(msgspec.structs.replace(reply, inventory=inventory))

    async def _store_checkpoint(self, attempt):
        """Store the checkpoint object, then end the attempt with its key."""
        done_ms = attempt.done_ms(self._clock.monotonic())
        key = CheckpointKey(f"checkpoints/{attempt.key.task}/{attempt.key.attempt}")
        body = msgspec.json.encode(CheckpointBody(done_ms=done_ms))
        try:
            async with self._session.put(self._objects_url + key, data=body) as answer:
                stored = answer.ok
        except (aiohttp.ClientError, TimeoutError):
            stored = False
        if stored:
            self._rules.end_checkpoint(attempt.key, key)
        else:
            self._rules.cancel_checkpoint(attempt.key)

    async def _read_checkpoints(self, keys):
        resumed_ms = {}
        for key in keys:
            try:
                async with self._session.get(self._objects_url + key) as answer:
                    if answer.status == 200:
                        body = await answer.read()
                        read = msgspec.json.decode(body, type=CheckpointBody)
                        resumed_ms[key] = read.done_ms
            except (aiohttp.ClientError, TimeoutError):
                continue
        return resumed_ms


def add_arguments(parser):
    """Add the arguments of this stand-in."""
    parser.add_argument("--worker-id", required=True)
    parser.add_argument("--millicores", type=int, default=32_000)
    parser.add_argument("--memory-mb", type=int, default=125_000)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--reserved-millicores", type=int, default=0)
    parser.add_argument("--reserved-memory-mb", type=int, default=0)
    parser.add_argument("--guards", choices=(GUARDS_ON, "off"), default=GUARDS_ON)
    parser.add_argument("--objects", required=True, help="host:port")
    parser.add_argument("--usage-lag-ms", type=int, default=1000)


def main():
    """Run the stand-in."""
    run_standin(WorkerStandin(parse_arguments(__doc__, add_arguments)).standin)


if __name__ == "__main__":
    main()
