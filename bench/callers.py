"""Callers under load that follow the callers' guide and keep an account."""

import collections
import dataclasses
import uuid

import httpx
import trio

from . import processes

NO_ANSWER = "no-answer"
_PREFIX = "x-shallotbridge-"
_TIMEOUT_SECONDS = 10.0
_PAUSE_SECONDS = 0.1
MAXIMUM_SENDINGS = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sending:
    """One sending of a request and what came back.

    Attributes
    ----------
    outcome : str
        As in the response; ``no-answer`` if the connection ended, and
        ``not-run`` if no connection could be made.
    sent_at, ended_at : float
        Time on trio's clock, seconds.
    """

    request_id: str
    idempotency_key: str
    is_idempotent: bool
    entry_address: str
    status: int
    outcome: str
    code: str
    retry: str
    sent_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """One kind of request that the callers send."""

    method: str
    path: str
    is_idempotent: bool


class Callers:
    """Sends requests through several nodes at a bounded rate.

    Parameters
    ----------
    addresses : sequence of str
        Entry nodes.
    kinds : sequence of Kind
    count : int
        Callers at the same time.
    interval : float
        Time from one request of a caller to its next, seconds.
    random : random.Random
    """

    def __init__(self, *, addresses, kinds, count, interval, random):
        self.sendings = []
        self._addresses = list(addresses)
        self._kinds = kinds
        self._count = count
        self._interval = interval
        self._random = random
        self._stop = trio.Event()

    def avoid(self, address):
        """Send nothing more to an entry node, as callers would do."""
        self._addresses.remove(address)

    def restore(self, address):
        """Send to an entry node again."""
        self._addresses.append(address)

    def stop(self):
        """Let each caller end its current request and stop."""
        self._stop.set()

    async def run(self):
        """Send requests until stopped."""
        async with trio.open_nursery() as nursery:
            for number in range(self._count):
                nursery.start_soon(self._run_caller, number)

    async def _run_caller(self, number):
        limits = httpx.Limits(keepalive_expiry=2.0)
        async with httpx.AsyncClient(
            timeout=_TIMEOUT_SECONDS, limits=limits, trust_env=False
        ) as client:
            while not self._stop.is_set():
                kind = self._random.choice(self._kinds)
                await self._send_until_settled(client, kind)
                with trio.move_on_after(
                    self._interval * self._random.uniform(0.5, 1.5)
                ):
                    await self._stop.wait()

    async def _send_until_settled(self, client, kind):
        key = "" if kind.is_idempotent else uuid.uuid4().hex
        # Counts only sendings that may have run: after a certain "not run"
        # the next one is a first one again.
        attempt = 1
        for number in range(1, MAXIMUM_SENDINGS + 1):
            sending = await self._send(client, kind, key, attempt)
            self.sendings.append(sending)
            attempt += sending.outcome != "not-run"
            is_settled = sending.outcome == "run" or (
                # An unknown outcome ends here unless a repetition is
                # harmless: idempotent, or with the same key.
                sending.retry == "unsafe"
                and not kind.is_idempotent
                and sending.outcome != NO_ANSWER
            )
            if is_settled or self._stop.is_set():
                return
            await trio.sleep(
                self._random.uniform(0, _PAUSE_SECONDS * 2**number)
            )

    async def _send(self, client, kind, key, attempt):
        address = self._random.choice(self._addresses)
        request_id = uuid.uuid4().hex
        headers = {
            f"{_PREFIX}request-id": request_id,
            f"{_PREFIX}attempt": str(attempt),
        }
        if key:
            headers["idempotency-key"] = key
        facts = {"status": 0, "outcome": NO_ANSWER, "code": "", "retry": ""}
        sent_at = trio.current_time()
        try:
            response = await client.request(
                kind.method,
                f"http://{address}:{processes.CALLER_PORT}{kind.path}",
                headers=headers,
                content=b"{}" if kind.method == "POST" else None,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            facts["outcome"] = "not-run"
            facts["code"] = "no connection"
        except httpx.TransportError as error:
            facts["code"] = type(error).__name__
        else:
            returned = response.headers.get(f"{_PREFIX}request-id")
            if returned != request_id:
                raise processes.ProcessError(
                    f"sent request {request_id}, received the answer to "
                    f"{returned}"
                )
            facts = {
                "status": response.status_code,
                "outcome": response.headers[f"{_PREFIX}outcome"],
                "code": response.headers.get(f"{_PREFIX}code", ""),
                "retry": response.headers.get(f"{_PREFIX}retry", ""),
            }
        return Sending(
            request_id=request_id,
            idempotency_key=key,
            is_idempotent=kind.is_idempotent,
            entry_address=address,
            sent_at=sent_at,
            ended_at=trio.current_time(),
            **facts,
        )

    def counts_by_outcome(self):
        """Return the number of sendings by outcome and code."""
        return collections.Counter(
            (sending.outcome, sending.code or str(sending.status))
            for sending in self.sendings
        )
