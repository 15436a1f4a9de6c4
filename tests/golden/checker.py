"""The invariants of section 2.1, checked over a whole session."""

import collections
import dataclasses
import itertools
import math

from shallotbridge.core import model

# "A few seconds" of P5 and P9.
FEW_SECONDS = 4.0
# The answer to a repetition whose first sending ended elsewhere.
KEY_SEEN = "SB-3009"


@dataclasses.dataclass(kw_only=True)
class Sending:
    """One sending of a request by a caller, and its answer."""

    request_id: str
    route: model.Route
    target: str
    entry: str
    sent_at: float
    key: str | None
    attempt: int
    body: bytes
    is_sent: bool = False
    response: model.Response | None = None

    @property
    def outcome(self):
        """What the caller knows: run, not-run, unknown, lost, no node."""
        if self.response is None:
            return "lost" if self.is_sent else "no node"
        return self.response.header("x-shallotbridge-outcome")

    @property
    def answer(self):
        """Status, outcome and code as one text."""
        if self.response is None:
            return self.outcome
        code = self.response.header("x-shallotbridge-code")
        words = [str(self.response.status), self.outcome, code]
        return " ".join(word for word in words if word)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Start:
    """A request that an upstream began to run."""

    at: float
    host: model.Host
    request_id: str
    key: str | None
    target: str
    in_use: int
    capacity: float


class History:
    """All that happened in a session.

    Attributes
    ----------
    unreachable_until_by_id : dict of str to float
        Time at which hosts that no other host reached were reachable again;
        what operators decide binds them from then on.
    is_ramp_known : bool
        False if upstreams turn cold without warning, which no node can know
        before the first sign of it.
    may_go_back : set of str
        Hosts that restarted with every holder of the newer version out of
        reach, so that a later life may begin lower (section 5.5).
    planned_only : bool
        Whether only planned stops happen, which cut off nothing (P10).
    """

    def __init__(self):
        self.sendings_by_id = {}
        self.starts = []
        self.refusals = []
        self.left_at_by_id = {}
        self.unreachable_until_by_id = {}
        self.is_ramp_known = True
        self.planned_only = False
        self.may_go_back = set()
        self.versions = collections.defaultdict(list)
        self._samples = collections.defaultdict(list)
        self.published_at = 0.0
        self._built_by_head = {}
        self._foreign = set()
        self._out_by_domain = collections.defaultdict(list)

    def on_version(self, host_id, life, chosen):
        """Note a version that a node says it applied."""
        version, _, digest = chosen.partition("@")
        self.versions[host_id, life].append((int(version), digest))

    def on_built(self, configuration):
        """Note a whole and valid version that may be published."""
        self._built_by_head[configuration.head] = configuration

    def on_sample(self, host_id, life, configuration):
        """Note a version that is seen in force on a node."""
        if configuration is None:
            return
        head = configuration.head
        if configuration != self._built_by_head.get(head):
            self._foreign.add((host_id, head.version))
        if host_id not in self.may_go_back:
            # What is in force only goes up over restarts, too.
            life = 0
        seen = self._samples[host_id, life]
        if not seen or seen[-1] != head:
            seen.append(head)

    def on_published(self, now, configuration):
        """Note which domains a version takes out of service."""
        self.published_at = now
        for domain in configuration.failure_domains_by_name.values():
            changes = self._out_by_domain[domain.name]
            is_out = not domain.in_service
            if is_out != (bool(changes) and changes[-1][1]):
                changes.append((now, is_out))

    def on_start(self, start):
        """Note a request that an upstream began to run."""
        self.starts.append(start)

    def on_refusal(self, now, host_id, reason):
        """Note a refusal of an upstream."""
        self.refusals.append((now, host_id, reason))

    def on_leave(self, now, host_id):
        """Note that an upstream leaves."""
        self.left_at_by_id[host_id] = now

    def runs(self, sending):
        """Return how often upstreams began to run one sending."""
        return sum(
            start.request_id == sending.request_id for start in self.starts
        )

    def check(self, session):
        """Raise AssertionError with all violations."""
        problems = [
            *self._upward(),
            *(f"P3: not whole: {found}" for found in sorted(self._foreign)),
            *self._own_resources(),
            *self._ramps(session),
            *self._out_of_service(),
            *self._answers(),
            *self._at_most_once(),
            *self._leaving(),
            *self._graceful(),
        ]
        assert not problems, "\n".join(problems)

    def served_share(self, since):
        """Return the share of the requests sent since a time that ran."""
        outcomes = [
            sending.outcome == "run"
            for sending in self.sendings_by_id.values()
            if sending.sent_at >= since
        ]
        return sum(outcomes) / len(outcomes)

    def _upward(self):
        for records in (self.versions, self._samples):
            for (host_id, life), found in sorted(records.items()):
                for previous, following in itertools.pairwise(found):
                    if following < previous:
                        yield f"P1: {host_id} life {life}: {found}"

    def _own_resources(self):
        for start in self.starts:
            if not start.target.startswith(f"/{start.host.service}/"):
                yield f"P2: {start.host.host_id} ran {start.target}"

    def _ramps(self, session):
        for start in self.starts if self.is_ramp_known else ():
            capacity = start.capacity
            service = session.services_by_name[start.host.service]
            for at, is_out in self._out_by_domain[start.host.failure_domain]:
                if not is_out and at <= start.at:
                    # A domain that returns is treated as cold.
                    limits = service.upstream
                    warmth = (start.at - at) / limits.ramp_seconds
                    grown = (limits.slots - limits.cold_slots) * warmth
                    capacity = min(capacity, limits.cold_slots + grown)
            if start.in_use > math.floor(capacity + 1e-6):
                yield (
                    f"P4: {start.host.host_id} ran {start.in_use} at "
                    f"{start.at:.2f} s with room for {capacity:.2f}"
                )

    def _out_of_service(self):
        for start in self.starts:
            host = start.host
            began = None
            for at, is_out in self._out_by_domain[host.failure_domain]:
                if at <= start.at:
                    began = at if is_out else None
            reachable = self.unreachable_until_by_id.get(host.host_id, 0.0)
            if began is not None and start.at > (
                max(began, reachable) + FEW_SECONDS
            ):
                yield (
                    f"P5: {host.host_id} started {start.request_id} "
                    f"{start.at - began:.1f} s after its domain was out"
                )

    def _answers(self):
        ids_by_key = collections.defaultdict(set)
        for sending in self.sendings_by_id.values():
            ids_by_key[sending.key].add(sending.request_id)
        for sending in self.sendings_by_id.values():
            name = sending.request_id
            if sending.outcome == "not-run" and self.runs(sending):
                yield f"P7: {name} ran, answer {sending.answer}"
            response = sending.response
            if response is None or response.status != 200:
                continue
            ids = ids_by_key[sending.key] if sending.key else {name}
            wanted = [
                f"{each} {sending.route.method} {sending.target}\n".encode()
                + sending.body
                for each in ids
            ]
            if response.body not in wanted:
                yield f"P6: {name} got {response.body!r}"
            if not ids & {start.request_id for start in self.starts}:
                yield f"P6: {name} did not run, answer {sending.answer}"

    def _at_most_once(self):
        runs_by_key = collections.Counter()
        for sending in self.sendings_by_id.values():
            if sending.route.is_idempotent:
                continue
            if sending.key is not None:
                runs_by_key[sending.key] += self.runs(sending)
            if self.runs(sending) > 1:
                yield f"P8: {sending.request_id} ran {self.runs(sending)}x"
        for key, runs in sorted(runs_by_key.items()):
            if runs > 1:
                yield f"P8: the key {key} ran {runs}x"

    def _leaving(self):
        for at, host_id, reason in self.refusals:
            left_at = self.left_at_by_id.get(host_id, math.inf)
            if reason == "leaving" and at > left_at + FEW_SECONDS:
                yield f"P9: {host_id} got work {at - left_at:.1f} s late"

    def _graceful(self):
        for sending in self.sendings_by_id.values():
            code = sending.response and sending.response.header(
                "x-shallotbridge-code"
            )
            is_cut_off = sending.outcome in ("lost", "unknown")
            if self.planned_only and is_cut_off and code != KEY_SEEN:
                yield f"P10: {sending.request_id}: {sending.answer}"


def table(session):
    """Return the table at the end of a transcript."""
    history = session.history
    versions_by_id = collections.defaultdict(list)
    for (host_id, _), found in sorted(history.versions.items()):
        listed = " ".join(str(version) for version, _ in found)
        versions_by_id[host_id].append(listed)
    lines = [
        "host                  versions of each life     "
        "ran  most at once  crashes"
    ]
    for host_id, upstream in session.upstreams_by_id.items():
        ran = sum(start.host.host_id == host_id for start in history.starts)
        versions = " / ".join(versions_by_id[host_id])
        lines.append(
            f"{host_id:21} {versions:25} {ran:3}  "
            f"{upstream.peak_in_use:12}  {upstream.crashes:7}"
        )
    sendings = history.sendings_by_id.values()
    twice = sum(
        history.runs(sending) > 1 and not sending.route.is_idempotent
        for sending in sendings
    )
    untrue = sum(
        bool(history.runs(sending)) and sending.outcome == "not-run"
        for sending in sendings
    )
    return lines + [
        f"requests {len(history.sendings_by_id)}, non-idempotent ones run "
        f'twice {twice}, "not run" answers that ran {untrue}'
    ]
