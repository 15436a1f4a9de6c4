"""Messages between nodes, generated from schema/link.toml."""

import math

import msgspec


class Work(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=1,
    gc=False,
):
    """A request that the receiver is to run on its upstream."""

    # chosen by the sender, unique on its connection
    call_id: int
    # the instance that was chosen
    upstream_id: str
    # service of the route
    service: str
    # name of the route
    route: str
    # the caller's id of the request
    request_id: str
    method: str
    # path and query
    target: str
    # end-to-end headers, names in lower case
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # time until the caller's deadline or the route's timeout
    remaining_ms: float
    # time until the latency objective; negative when missed
    objective_ms: float
    # 0 is the most urgent
    priority: int
    is_idempotent: bool
    # usual duration of the route's requests
    expected_ms: float
    # the sender's clock, s
    sent_at: float
    # refuse the request if it would wait longer for a slot
    maximum_wait_ms: float = math.inf
    # address of the sender
    sender: str = ""
    # requests a second that the upstream named; -1: none
    known_limit: float = -1.0
    # orders requests of equal priority
    route_priority: int = 0


class Cancel(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=2,
    gc=False,
):
    """The caller of a request has left."""

    call_id: int


class Load(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=3,
    gc=False,
):
    """What an owner node can take at this moment."""

    # requests that its upstream can run
    slots: int
    # slots without a request
    free: int
    # expected wait of a new request of middle priority
    wait_ms: float
    # false: it takes no work
    is_open: bool
    # revision that the sender has
    position: int
    # of the sender's copy at that revision; 0: not told
    digest: int = 0
    # the same of its copy of the configuration
    configuration_position: int = 0
    configuration_digest: int = 0
    # requests a second that its upstream takes; -1: not told
    limit: float = -1.0
    # nodes that sent requests here lately
    sender_count: int = 0
    # its upstream if an answer said that it is leaving
    leaving_id: str = ""
    # start of that upstream, Unix time
    leaving_started_ms: int = 0
    # duration of its requests relative to the usual one; 0: not told
    slowdown: float = 0.0


class Answer(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=4,
    gc=False,
):
    """The upstream's whole answer."""

    call_id: int
    status: int
    # end-to-end headers
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # time at the upstream
    run_ms: float
    load: Load


class Refusal(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=5,
    gc=False,
):
    """The request has not run here and never will."""

    call_id: int
    # code of the error
    code: str
    detail: str
    # when a slot is expected to be free
    retry_after_ms: float
    # the upstream itself refused it
    has_arrived: bool
    load: Load


class Failure(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=6,
    gc=False,
):
    """The request may have run; there is no whole answer."""

    call_id: int
    # code of the error
    code: str
    detail: str
    load: Load


class CrashRecord(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=12,
    gc=False,
):
    """A request that was in flight when upstreams crashed."""

    # digest of the request
    fingerprint: int
    # digests of the crashes since the last completion
    crash_ids: tuple[int, ...]
    # the request completed after the last crash
    is_cleared: bool
    # time since the last of the crashes
    age_ms: float
    # how often the request completed after crashes
    completions: int = 0


class Ping(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=7,
    gc=False,
):
    """Asks whether the connection and the peer still work."""

    # revision that the sender has
    position: int
    # the sender's clock, s
    sent_at: float
    # of the sender's copy at that revision; 0: not told
    digest: int = 0
    # the same of its copy of the configuration
    configuration_position: int = 0
    configuration_digest: int = 0
    # of the sender's crash records; -1: not told
    crash_digest: int = -1
    # those that the receiver may not know
    crash_records: tuple[CrashRecord, ...] = ()


class Pong(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=8,
    gc=False,
):
    """Answers a Ping."""

    load: Load
    # of the sender's crash records if it differs from that in the Ping
    crash_digest: int = -1
    # all of the sender, in that case
    crash_records: tuple[CrashRecord, ...] = ()


class Pull(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=9,
    gc=False,
):
    """Asks for the published items that are newer than a revision."""

    call_id: int
    # revision that the sender has
    position: int
    # how long the answer may wait for news
    wait_ms: int
    # the sender reads the platform if it turned the receiver away
    may_read: bool = False
    # 0: upstreams; 1: the configuration and the domains out of service
    topic: int = 0
    # address of the sender
    sender: str = ""


class PublishedItem(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=10,
    gc=False,
):
    """One item as the platform published it; no value means deleted."""

    key: str
    revision: int
    # compressed with zlib on the way between nodes
    value: bytes | None


class Items(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=11,
    gc=False,
):
    """Answers a Pull."""

    call_id: int
    # revision up to which this is complete
    position: int
    # true: items not listed do not exist
    is_whole: bool
    items: tuple[PublishedItem, ...]
    # the platform turned the sender away; another node is to read
    is_turned_away: bool = False
    # of the sender's copy at that revision; 0: not told
    digest: int = 0
    # time since that copy was known to be complete
    age_ms: float = 0.0


class QuotaRequest(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=13,
    gc=False,
):
    """Asks the home node of a customer for a part of its quota."""

    call_id: int
    # name of the customer
    customer: str
    # requests that the sender wants to pass on
    tokens: float
    # requests a second of the customer at the sender
    demand: float
    # of the sender's configuration
    version: int
    # address of the sender
    sender: str


class QuotaGrant(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=14,
    gc=False,
):
    """Answers a QuotaRequest."""

    call_id: int
    # requests that the sender may pass on; 0: none
    tokens: float
    # time after which unused tokens are void
    valid_ms: float
    # time until a token is due if there is none
    retry_after_ms: float
    # part of the quota for the sender while it does not reach the home node
    share: float
