"""Open-loop load on nodes or upstreams, with a record of each request.

``python -m bench.load PLAN OUTPUT`` reads a plan as JSON and writes the
records. Latency counts from the intended arrival, so that a stall counts for
all requests that arrive during it.
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
# Above the deadlines of all routes, so that the node's answer is seen.
DEADLINE_SECONDS = 8.0
# Share of the rate at the first request of a growing load.
FIRST_SHARE = 0.03
NO_ANSWER = "no-answer"
OK = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What is sent.

    Attributes
    ----------
    addresses : list of str
        Each request goes to one of them at random.
    kinds : list of [str, str, bool]
        Method, path and whether a repetition is harmless.
    rate : float
        Requests a second over all addresses; Poisson arrivals.
    growth_seconds : float
        Time over which the rate grows to its full value.
    start_at : float
        Wall time; 0 starts at once.
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
    """One request; times in seconds, ``sent_at`` on the wall clock."""

    sent_at: float
    latency: float
    outcome: str
    code: str
    is_idempotent: bool
    request_id: str
    key: str


class Load:
    """Connections to the addresses of a plan."""

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
        """Send for a time; return the records."""
        plan = self._plan
        records = []
        await trio.sleep(max(0.0, plan.start_at - time.time()))
        wall_offset = time.time() - trio.current_time()
        async with trio.open_nursery() as nursery:
            start = at = trio.current_time()
            while at < start + (seconds or plan.seconds):
                await trio.sleep_until(at)
                nursery.start_soon(self._send, at, wall_offset, records)
                share = 1.0
                if plan.growth_seconds:
                    grown = (at - start) / plan.growth_seconds
                    share = min(1.0, max(FIRST_SHARE, grown))
                at += self._random.expovariate(plan.rate * share)
        return records

    async def close(self):
        """Close the connections."""
        for each in self._pools_by_address.values():
            await each.close()

    async def _send(self, intended, wall_offset, records):
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
            default = "run" if response.status == OK else "not-run"
            outcome = response.header(protocol.OUTCOME) or default
            code = response.header(protocol.CODE) or ""
        except errors.CallError as error:
            is_not_run = error.outcome is errors.Outcome.NOT_RUN
            outcome = "not-run" if is_not_run else NO_ANSWER
            code = f"client {error.code}"
        records.append(
            Record(
                sent_at=intended + wall_offset,
                latency=trio.current_time() - intended,
                outcome=outcome,
                code=code,
                is_idempotent=is_idempotent,
                request_id=request_id,
                key=key,
            )
        )


def freeze():
    """Keep collections of garbage short, as the node does."""
    gc.collect()
    gc.freeze()


async def _run(plan):
    freeze()
    load = Load(plan=plan)
    return await load.run()


def start(running, name, plan):
    """Start a process that sends a plan; ``read`` gives its records."""
    path = running.directory / f"{name}.plan.json"
    path.write_text(json.dumps(dataclasses.asdict(plan)))
    running.start(
        name, ["bench.load", str(path), str(path.with_suffix(".out"))]
    )


def read(running, name, timeout):
    """Wait for a process of ``start`` and return its records."""
    if running.wait(name, timeout):
        raise processes.ProcessError(f"{name}: {running.output(name)}")
    path = running.directory / f"{name}.plan.out"
    return [Record(**fields) for fields in json.loads(path.read_text())]


def main():
    """Send the plan of a file and write the records to another."""
    plan_path, output = map(pathlib.Path, sys.argv[1:])
    records = trio.run(_run, Plan(**json.loads(plan_path.read_text())))
    output.write_text(
        json.dumps([dataclasses.asdict(record) for record in records])
    )


if __name__ == "__main__":
    main()
