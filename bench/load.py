"""Open-loop load generator for nodes or upstreams that records each request.

``python -m bench.load PLAN OUTPUT`` reads a plan as JSON and writes the
records. Latency is measured from the intended arrival, so that a stall counts
for all requests that arrive during it.
"""

import dataclasses
import gc
import json
import pathlib
import random
import sys
import time
import uuid

import trio

from shallotbridge.core import errors
from shallotbridge.core import model
from shallotbridge.core import pool
from shallotbridge.core import protocol
from shallotbridge.transports import tcp

from . import processes

MAXIMUM_CONNECTIONS = 400
# Longer than the deadlines of all routes, so that the node's response arrives.
DEADLINE_SECONDS = 8.0
# Fraction of the full rate at the start of a ramp.
INITIAL_RATE_RATIO = 0.03
NO_RESPONSE = "no-answer"
HTTP_OK = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Requests to send and their arrival rate.

    Attributes
    ----------
    addresses : list of str
        Each request goes to a randomly chosen one.
    kinds : list of [str, str, bool]
        Method, path and whether the request is idempotent.
    rate : float
        Requests per second over all addresses; Poisson arrivals.
    growth_seconds : float
        Time over which the rate ramps up to its full value.
    start_at : float
        Wall time of the start; 0 starts immediately.
    """

    addresses: list
    kinds: list
    rate: float
    seconds: float
    seed: int
    port: int = processes.CALLER_PORT
    growth_seconds: float = 0.0
    start_at: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """One request; times in seconds, ``sent_at`` is a wall time."""

    sent_at: float
    latency: float
    outcome: str
    code: str
    is_idempotent: bool
    request_id: str
    key: str


class LoadGenerator:
    """Sends the requests of a plan over pooled connections."""

    def __init__(self, *, plan):
        self._plan = plan
        self._random = random.Random(plan.seed)
        is_mesh = plan.port == processes.CALLER_PORT
        self._id_header = protocol.REQUEST_ID if is_mesh else "x-request-id"
        self._pools_by_address = {
            address: pool.ConnectionPool(
                open_stream=tcp.open_stream,
                address=address,
                port=plan.port,
                maximum=MAXIMUM_CONNECTIONS,
                id_header=self._id_header,
            )
            for address in plan.addresses
        }

    async def run(self, seconds=None):
        """Send requests and return the records.

        ``seconds`` overrides the duration of the plan.
        """
        plan = self._plan
        records = []
        await trio.sleep(max(0.0, plan.start_at - time.time()))
        wall_offset = time.time() - trio.current_time()
        async with trio.open_nursery() as nursery:
            started_at = intended_at = trio.current_time()
            while intended_at < started_at + (seconds or plan.seconds):
                await trio.sleep_until(intended_at)
                nursery.start_soon(
                    self._send, intended_at, wall_offset, records
                )
                rate_ratio = 1.0
                if plan.growth_seconds:
                    ramp_ratio = (
                        intended_at - started_at
                    ) / plan.growth_seconds
                    rate_ratio = min(1.0, max(INITIAL_RATE_RATIO, ramp_ratio))
                intended_at += self._random.expovariate(plan.rate * rate_ratio)
        return records

    async def close(self):
        """Close all connections."""
        for connection_pool in self._pools_by_address.values():
            await connection_pool.close()

    async def _send(self, intended_at, wall_offset, records):
        method, path, is_idempotent = self._random.choice(self._plan.kinds)
        address = self._random.choice(self._plan.addresses)
        request_id = f"{self._random.getrandbits(64):016x}"
        key = "" if is_idempotent else uuid.uuid4().hex
        headers = [("host", "bench"), (self._id_header, request_id)]
        if key:
            headers.append((protocol.IDEMPOTENCY_KEY, key))
        request = model.Request(
            method=method,
            target=path,
            headers=tuple(
                model.Header(name=name, value=value) for name, value in headers
            ),
            body=b"" if method == "GET" else b"{}",
        )
        code = ""
        try:
            response = await self._pools_by_address[address].exchange(
                request, trio.current_time() + DEADLINE_SECONDS
            )
            default_outcome = (
                "run" if response.status == HTTP_OK else "not-run"
            )
            outcome = response.header(protocol.OUTCOME) or default_outcome
            code = response.header(protocol.CODE) or ""
        except errors.CallError as error:
            is_not_run = error.outcome is errors.Outcome.NOT_RUN
            outcome = "not-run" if is_not_run else NO_RESPONSE
            code = f"client {error.code}"
        records.append(
            Record(
                sent_at=intended_at + wall_offset,
                latency=trio.current_time() - intended_at,
                outcome=outcome,
                code=code,
                is_idempotent=is_idempotent,
                request_id=request_id,
                key=key,
            )
        )


def freeze_heap():
    """Exclude existing objects from garbage collection, as the node does.

    This keeps the pauses of later collections short.
    """
    gc.collect()
    gc.freeze()


async def _run(plan):
    freeze_heap()
    generator = LoadGenerator(plan=plan)
    return await generator.run()


def start_process(process_manager, name, plan):
    """Start a process that runs a plan; see ``read_records``."""
    path = process_manager.directory / f"{name}.plan.json"
    path.write_text(json.dumps(dataclasses.asdict(plan)))
    process_manager.start(
        name, ["bench.load", str(path), str(path.with_suffix(".out"))]
    )


def read_records(process_manager, name, timeout):
    """Wait for a process of ``start_process`` and return its records."""
    if process_manager.wait(name, timeout):
        raise processes.ProcessError(
            f"{name}: {process_manager.read_output(name)}"
        )
    path = process_manager.directory / f"{name}.plan.out"
    return [Record(**fields) for fields in json.loads(path.read_text())]


def main():
    """Run the plan in one file and write the records to another."""
    plan_path, output = map(pathlib.Path, sys.argv[1:])
    records = trio.run(_run, Plan(**json.loads(plan_path.read_text())))
    output.write_text(
        json.dumps([dataclasses.asdict(record) for record in records])
    )


if __name__ == "__main__":
    main()
