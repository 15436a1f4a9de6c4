"""Checks of the invariants of section 2.1 over a complete session."""

import collections
import dataclasses
import itertools
import math

from shallotbridge.core import model

# The "few seconds" of invariants P5 and P9.
MAXIMUM_REACTION_SECONDS = 4.0
# Code of the response to a retry whose first attempt ended at another owner.
KEY_SEEN_CODE = "SB-3009"


@dataclasses.dataclass(kw_only=True)
class CallerRequest:
    """A request that a caller sent once, and its response."""

    request_id: str
    route: model.Route
    target: str
    entry: str
    sent_at: float
    key: str | None
    attempt: int
    body: bytes
    was_sent: bool = False
    response: model.Response | None = None

    @property
    def outcome(self):
        """What the caller learns: run, not-run, unknown, lost or no node."""
        if self.response is None:
            return "lost" if self.was_sent else "no node"
        return self.response.header("x-shallotbridge-outcome")

    @property
    def response_summary(self):
        """Status, outcome and error code as one text."""
        if self.response is None:
            return self.outcome
        code = self.response.header("x-shallotbridge-code")
        texts = [str(self.response.status), self.outcome, code]
        return " ".join(text for text in texts if text)


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamRun:
    """A request that an upstream began to run."""

    at: float
    host: model.Host
    request_id: str
    key: str | None
    target: str
    in_use: int
    capacity: float


class History:
    """Record of the events of a session.

    Attributes
    ----------
    unreachable_until_by_id : dict of str to float
        Time at which hosts that no other host could reach became reachable
        again. Decisions of operators apply to them only from then on.
    is_ramp_predictable : bool
        False if upstreams become cold without notice, which nodes can only
        detect afterwards.
    may_regress : set of str
        Hosts that restarted while no host with the newer version was
        reachable, so that they may start with a lower version (section 5.5).
    has_only_planned_stops : bool
        Whether all stops are planned ones, which must not interrupt requests
        (P10).
    """

    def __init__(self):
        self.requests_by_id = {}
        self.runs = []
        self.refusals = []
        self.left_at_by_id = {}
        self.unreachable_until_by_id = {}
        self.is_ramp_predictable = True
        self.has_only_planned_stops = False
        self.may_regress = set()
        self.applied_versions = collections.defaultdict(list)
        self._sampled_heads = collections.defaultdict(list)
        self.published_at = 0.0
        self._built_configurations_by_head = {}
        self._unverified_versions = set()
        self._out_changes_by_domain = collections.defaultdict(list)

    def on_version_applied(self, host_id, incarnation, chosen):
        """Record a version that a node logged as applied."""
        version, _, digest = chosen.partition("@")
        self.applied_versions[host_id, incarnation].append(
            (int(version), digest)
        )

    def on_configuration_built(self, configuration):
        """Record a complete and valid version that may be published."""
        self._built_configurations_by_head[configuration.head] = configuration

    def on_configuration_sampled(self, host_id, incarnation, configuration):
        """Record the configuration that is active on a node."""
        if configuration is None:
            return
        head = configuration.head
        if configuration != self._built_configurations_by_head.get(head):
            self._unverified_versions.add((host_id, head.version))
        if host_id not in self.may_regress:
            # The active version must not decrease across restarts either.
            incarnation = 0
        sampled_heads = self._sampled_heads[host_id, incarnation]
        if not sampled_heads or sampled_heads[-1] != head:
            sampled_heads.append(head)

    def on_configuration_published(self, now, configuration):
        """Record which domains a version takes out of service."""
        self.published_at = now
        for domain in configuration.failure_domains_by_name.values():
            changes = self._out_changes_by_domain[domain.name]
            is_out = not domain.in_service
            if is_out != (bool(changes) and changes[-1][1]):
                changes.append((now, is_out))

    def on_run_started(self, run):
        """Record a request that an upstream began to run."""
        self.runs.append(run)

    def on_upstream_refusal(self, now, host_id, reason):
        """Record a request that an upstream refused."""
        self.refusals.append((now, host_id, reason))

    def on_upstream_leaving(self, now, host_id):
        """Record that an upstream leaves."""
        self.left_at_by_id[host_id] = now

    def count_runs(self, request):
        """Return how often upstreams began to run a request."""
        return sum(run.request_id == request.request_id for run in self.runs)

    def check(self, session):
        """Raise AssertionError with all violations."""
        problems = [
            *self._find_version_decreases(),
            *(
                f"P3: not a complete version: {found}"
                for found in sorted(self._unverified_versions)
            ),
            *self._find_wrong_service_runs(),
            *self._find_ramp_violations(session),
            *self._find_out_of_service_runs(),
            *self._find_wrong_responses(),
            *self._find_duplicate_runs(),
            *self._find_work_after_leaving(),
            *self._find_interrupted_requests(),
        ]
        assert not problems, "\n".join(problems)

    def served_ratio(self, since):
        """Return the ratio of requests sent since a time that ran."""
        has_run = [
            request.outcome == "run"
            for request in self.requests_by_id.values()
            if request.sent_at >= since
        ]
        return sum(has_run) / len(has_run)

    def _find_version_decreases(self):
        for records in (self.applied_versions, self._sampled_heads):
            for (host_id, incarnation), heads in sorted(records.items()):
                for previous, following in itertools.pairwise(heads):
                    if following < previous:
                        yield f"P1: {host_id} start {incarnation}: {heads}"

    def _find_wrong_service_runs(self):
        for run in self.runs:
            if not run.target.startswith(f"/{run.host.service}/"):
                yield f"P2: {run.host.host_id} ran {run.target}"

    def _find_ramp_violations(self, session):
        for run in self.runs if self.is_ramp_predictable else ():
            capacity = run.capacity
            service = session.services_by_name[run.host.service]
            for changed_at, is_out in self._out_changes_by_domain[
                run.host.failure_domain
            ]:
                if not is_out and changed_at <= run.at:
                    # Upstreams of a returned domain count as cold.
                    limits = service.upstream
                    progress = (run.at - changed_at) / limits.ramp_seconds
                    added_slots = (limits.slots - limits.cold_slots) * progress
                    capacity = min(capacity, limits.cold_slots + added_slots)
            if run.in_use > math.floor(capacity + 1e-6):
                yield (
                    f"P4: {run.host.host_id} ran {run.in_use} at "
                    f"{run.at:.2f} s with a capacity of {capacity:.2f}"
                )

    def _find_out_of_service_runs(self):
        for run in self.runs:
            host = run.host
            out_since = None
            for changed_at, is_out in self._out_changes_by_domain[
                host.failure_domain
            ]:
                if changed_at <= run.at:
                    out_since = changed_at if is_out else None
            reachable_at = self.unreachable_until_by_id.get(host.host_id, 0.0)
            if out_since is not None and run.at > (
                max(out_since, reachable_at) + MAXIMUM_REACTION_SECONDS
            ):
                yield (
                    f"P5: {host.host_id} started {run.request_id} "
                    f"{run.at - out_since:.1f} s after its domain was out"
                )

    def _find_wrong_responses(self):
        ids_by_key = collections.defaultdict(set)
        for request in self.requests_by_id.values():
            ids_by_key[request.key].add(request.request_id)
        for request in self.requests_by_id.values():
            request_id = request.request_id
            if request.outcome == "not-run" and self.count_runs(request):
                yield f"P7: {request_id} ran, got {request.response_summary}"
            response = request.response
            if response is None or response.status != 200:
                continue
            ids = ids_by_key[request.key] if request.key else {request_id}
            expected_bodies = [
                f"{each} {request.route.method} {request.target}\n".encode()
                + request.body
                for each in ids
            ]
            if response.body not in expected_bodies:
                yield f"P6: {request_id} got {response.body!r}"
            if not ids & {run.request_id for run in self.runs}:
                yield (
                    f"P6: {request_id} did not run, got "
                    f"{request.response_summary}"
                )

    def _find_duplicate_runs(self):
        runs_by_key = collections.Counter()
        for request in self.requests_by_id.values():
            if request.route.is_idempotent:
                continue
            if request.key is not None:
                runs_by_key[request.key] += self.count_runs(request)
            if self.count_runs(request) > 1:
                yield (
                    f"P8: {request.request_id} ran {self.count_runs(request)}x"
                )
        for key, run_count in sorted(runs_by_key.items()):
            if run_count > 1:
                yield f"P8: the key {key} ran {run_count}x"

    def _find_work_after_leaving(self):
        for refused_at, host_id, reason in self.refusals:
            left_at = self.left_at_by_id.get(host_id, math.inf)
            if (
                reason == "leaving"
                and refused_at > left_at + MAXIMUM_REACTION_SECONDS
            ):
                yield (
                    f"P9: {host_id} got a request "
                    f"{refused_at - left_at:.1f} s after it left"
                )

    def _find_interrupted_requests(self):
        for request in self.requests_by_id.values():
            code = request.response and request.response.header(
                "x-shallotbridge-code"
            )
            is_interrupted = request.outcome in ("lost", "unknown")
            if (
                self.has_only_planned_stops
                and is_interrupted
                and code != KEY_SEEN_CODE
            ):
                yield f"P10: {request.request_id}: {request.response_summary}"


def format_table(session):
    """Return the lines of the table at the end of a transcript."""
    history = session.history
    versions_by_id = collections.defaultdict(list)
    for (host_id, _), found in sorted(history.applied_versions.items()):
        listed = " ".join(str(version) for version, _ in found)
        versions_by_id[host_id].append(listed)
    lines = [
        "host                  versions of each life     "
        "ran  most at once  crashes"
    ]
    for host_id, upstream in session.upstreams_by_id.items():
        run_count = sum(run.host.host_id == host_id for run in history.runs)
        version_text = " / ".join(versions_by_id[host_id])
        lines.append(
            f"{host_id:21} {version_text:25} {run_count:3}  "
            f"{upstream.peak_in_use:12}  {upstream.crashes:7}"
        )
    requests = history.requests_by_id.values()
    duplicate_count = sum(
        history.count_runs(request) > 1 and not request.route.is_idempotent
        for request in requests
    )
    false_not_run_count = sum(
        bool(history.count_runs(request)) and request.outcome == "not-run"
        for request in requests
    )
    return lines + [
        f"requests {len(history.requests_by_id)}, non-idempotent ones run "
        f"twice {duplicate_count}, "
        f'"not run" answers that ran {false_not_run_count}'
    ]
