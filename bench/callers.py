"""Callers that follow the callers' guide and record each request."""

import collections
import dataclasses
import uuid

import httpx
import trio

from . import processes

NO_RESPONSE = "no-answer"
_HEADER_PREFIX = "x-shallotbridge-"
_TIMEOUT_SECONDS = 10.0
_BACKOFF_BASE_SECONDS = 0.1
MAXIMUM_SENDS = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class SentRequest:
    """One request as sent, and its response.

    Attributes
    ----------
    outcome : str
        As in the response; ``no-answer`` if a connection was made but no
        response came, ``not-run`` if no connection could be made.
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
    """A kind of request that callers send."""

    method: str
    path: str
    is_idempotent: bool


class Callers:
    """Sends requests through several entry nodes at a bounded rate.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of the entry nodes.
    kinds : sequence of Kind
    count : int
        Number of concurrent callers.
    mean_interval_seconds : float
        Mean pause of a caller between two requests.
    random : random.Random
    """

    def __init__(
        self, *, addresses, kinds, count, mean_interval_seconds, random
    ):
        self.sent_requests = []
        self._addresses = list(addresses)
        self._kinds = kinds
        self._count = count
        self._mean_interval_seconds = mean_interval_seconds
        self._random = random
        self._stop = trio.Event()

    def exclude(self, address):
        """Stop sending to an entry node, as real callers would."""
        self._addresses.remove(address)

    def restore(self, address):
        """Resume sending to an entry node."""
        self._addresses.append(address)

    def stop(self):
        """Make each caller stop after its current request."""
        self._stop.set()

    async def run(self):
        """Send requests until ``stop`` is called."""
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
                await self._send_with_retries(client, kind)
                with trio.move_on_after(
                    self._mean_interval_seconds
                    * self._random.uniform(0.5, 1.5)
                ):
                    await self._stop.wait()

    async def _send_with_retries(self, client, kind):
        key = "" if kind.is_idempotent else uuid.uuid4().hex
        # Number of requests that may have run, plus one: a request that
        # certainly did not run does not count.
        attempt = 1
        for number in range(1, MAXIMUM_SENDS + 1):
            sent_request = await self._send(client, kind, key, attempt)
            self.sent_requests.append(sent_request)
            attempt += sent_request.outcome != "not-run"
            is_final = sent_request.outcome == "run" or (
                # After an unknown outcome, retries only if that is safe: the
                # request is idempotent or has the same idempotency key.
                sent_request.retry == "unsafe"
                and not kind.is_idempotent
                and sent_request.outcome != NO_RESPONSE
            )
            if is_final or self._stop.is_set():
                return
            await trio.sleep(
                self._random.uniform(0, _BACKOFF_BASE_SECONDS * 2**number)
            )

    async def _send(self, client, kind, key, attempt):
        address = self._random.choice(self._addresses)
        request_id = uuid.uuid4().hex
        headers = {
            f"{_HEADER_PREFIX}request-id": request_id,
            f"{_HEADER_PREFIX}attempt": str(attempt),
        }
        if key:
            headers["idempotency-key"] = key
        response_fields = {
            "status": 0,
            "outcome": NO_RESPONSE,
            "code": "",
            "retry": "",
        }
        sent_at = trio.current_time()
        try:
            response = await client.request(
                kind.method,
                f"http://{address}:{processes.CALLER_PORT}{kind.path}",
                headers=headers,
                content=b"{}" if kind.method == "POST" else None,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            response_fields["outcome"] = "not-run"
            response_fields["code"] = "no connection"
        except httpx.TransportError as error:
            response_fields["code"] = type(error).__name__
        else:
            returned = response.headers.get(f"{_HEADER_PREFIX}request-id")
            if returned != request_id:
                raise processes.ProcessError(
                    f"sent request {request_id}, received the response to "
                    f"{returned}"
                )
            response_fields = {
                "status": response.status_code,
                "outcome": response.headers[f"{_HEADER_PREFIX}outcome"],
                "code": response.headers.get(f"{_HEADER_PREFIX}code", ""),
                "retry": response.headers.get(f"{_HEADER_PREFIX}retry", ""),
            }
        return SentRequest(
            request_id=request_id,
            idempotency_key=key,
            is_idempotent=kind.is_idempotent,
            entry_address=address,
            sent_at=sent_at,
            ended_at=trio.current_time(),
            **response_fields,
        )

    def counts_by_outcome(self):
        """Return the number of sent requests by outcome and code."""
        return collections.Counter(
            (
                sent_request.outcome,
                sent_request.code or str(sent_request.status),
            )
            for sent_request in self.sent_requests
        )
