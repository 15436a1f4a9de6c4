"""Checks of the guarantees, based on records of callers and upstreams."""

import bisect
import collections
import math

from . import fleet

# Limits agreed for the users' deployments. A fault excuses violations until
# RECOVERY_LIMIT_SECONDS after its end.
RECOVERY_LIMIT_SECONDS = 3.0
CONFIGURATION_LIMIT_SECONDS = 2.0
DRAIN_LIMIT_SECONDS = 2.0
DOMAIN_OUT_LIMIT_SECONDS = 5.0
# An upstream gets at most this multiple of the limit that it names, and the
# slack, within any such time. The rule holds from 3 s after it named the limit
# first; here it is checked from the first answers on.
LIMIT_MULTIPLIER = 1.5
LIMIT_SLACK = 5
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_START_SECONDS = 0.5
# A request that races with the close of an idle connection fails within this
# time and has not run.
CLOSE_RACE_SECONDS = 0.2
# A request that ended this many upstreams runs at most so often from
# RECOVERY_LIMIT_SECONDS later on.
HARMFUL_CRASHES = 3
HARMFUL_RUNS_ALLOWED = 3
# A service is served again so long after its upstreams were slow; then, over
# such a time without faults, at least this ratio of its requests is.
SLOW_RECOVERY_SECONDS = 6.0
SLOW_CHECK_SECONDS = 3.0
MINIMUM_SERVED_RATIO = 0.25
MINIMUM_SLOW_CALLS = 20
_NOT_RUN_STATUSES = (408, 421, 429, 503)


def find_violations(records):
    """Return a description of each violation, most serious kind first."""
    return [
        *records.process_violations,
        *_find_wrong_responses(records),
        *_find_wrong_runs(records),
        *_find_late_runs(records),
        *_find_runs_after_leaving_answers(records),
        *_find_exceeded_limits(records),
        *_find_customer_violations(records),
        *_find_harmful_runs(records),
        *_find_version_violations(records),
        *_find_lost_requests(records),
        *_find_refused_services(records),
    ]


def _find_wrong_responses(records):
    for call in records.calls:
        if call.status == 200 and not call.is_own_response:
            yield f"{call.request_id}: response is incomplete or not its own"


def _find_wrong_runs(records):
    runs_by_id = collections.Counter(run.request_id for run in records.runs)
    calls_by_id = {call.request_id: call for call in records.calls}
    for request_id, count in runs_by_id.items():
        call = calls_by_id.get(request_id)
        if (
            request_id in records.probe_request_ids
            or request_id in records.harmful_calls_by_id
        ):
            continue
        if call is None:
            yield f"{request_id}: ran, but no caller sent it"
        elif not call.is_idempotent and count > 1:
            yield f"{request_id}: not idempotent, but ran {count} times"
        elif not call.is_idempotent and call.status in _NOT_RUN_STATUSES:
            yield f"{request_id}: ran, but its status was {call.status}"


def _find_late_runs(records):
    """Find runs on draining upstreams and in domains out of service."""
    calls_by_id = {call.request_id: call for call in records.calls}
    for run in records.runs:
        call = calls_by_id.get(run.request_id)
        # The host where the request began, and that of the upstream.
        hosts = {int(run.upstream_id[1:].partition("-")[0])}
        if call is not None:
            hosts.add(call.host)
        leaving_at = records.leaving_at_by_id.get(run.upstream_id)
        if (
            leaving_at is not None
            and run.at > leaving_at + DRAIN_LIMIT_SECONDS
        ):
            if records.are_in_touch(
                hosts, leaving_at - RECOVERY_LIMIT_SECONDS, run.at
            ):
                yield (
                    f"{run.request_id}: ran on {run.upstream_id} "
                    f"{run.at - leaving_at:.2f} s after it began to drain"
                )
        upstream_domain = records.domain_by_upstream.get(run.upstream_id)
        for domain, began, ended in records.domains_out:
            if (
                domain == upstream_domain
                and began + DOMAIN_OUT_LIMIT_SECONDS < run.at < ended
            ):
                if records.are_in_touch(
                    hosts, began - RECOVERY_LIMIT_SECONDS, run.at
                ):
                    yield (
                        f"{run.request_id}: ran in {upstream_domain} "
                        f"{run.at - began:.2f} s after it was taken out"
                    )


def _find_runs_after_leaving_answers(records):
    """Find requests sent to an upstream after it said that it is leaving.

    No fault excuses them: the node beside the upstream has seen the answer,
    or sees another one first when it has restarted.
    """
    calls_by_id = {call.request_id: call for call in records.calls}
    for run in records.runs:
        said_at = records.said_leaving_at_by_id.get(run.upstream_id)
        call = calls_by_id.get(run.request_id)
        if said_at is None or call is None:
            continue
        if run.upstream_id in records.older_upstream_ids:
            continue
        if call.sent_at > said_at + DRAIN_LIMIT_SECONDS:
            yield (
                f"{run.request_id}: ran on {run.upstream_id}, sent "
                f"{call.sent_at - said_at:.2f} s after an answer said that it "
                "is leaving"
            )


def _find_exceeded_limits(records):
    """Find upstreams that got more requests than their limit allows."""
    for upstream_id, limit, began, ended in records.limits:
        if upstream_id in records.older_upstream_ids:
            continue
        times = [
            run.at
            for run in records.runs
            if run.upstream_id == upstream_id
            and began + LIMIT_START_SECONDS < run.at < ended
        ]
        allowed = LIMIT_MULTIPLIER * limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        for start in times:
            count = sum(
                start <= time <= start + LIMIT_WINDOW_SECONDS for time in times
            )
            if count > allowed:
                yield (
                    f"{upstream_id}: named {limit:.1f} a second at "
                    f"{began:.2f} and got {count} requests in "
                    f"{LIMIT_WINDOW_SECONDS} s from {start:.2f}; allowed: "
                    f"{allowed:.0f}"
                )
                break


def _find_customer_violations(records):
    """Find 401 to known keys, keys at upstreams, and an exceeded quota."""
    for call in records.calls:
        if call.status == 401:
            yield f"{call.request_id}: its key was not accepted"
    yield from records.header_violations
    if records.older_upstream_ids:
        return
    limited_ids = {
        call.request_id for call in records.calls if call.is_limited
    }
    times = sorted(
        run.at for run in records.runs if run.request_id in limited_ids
    )
    quota = fleet.QUOTA_RATE * fleet.QUOTA_WINDOW_SECONDS + fleet.QUOTA_BURST
    allowed = quota * (1 + fleet.QUOTA_OVERAGE) + fleet.QUOTA_SLACK
    for first, start in enumerate(times):
        last = bisect.bisect_right(times, start + fleet.QUOTA_WINDOW_SECONDS)
        if last - first > allowed:
            yield (
                f"{last - first} runs of the customer with a quota from "
                f"{start:.2f} on; allowed: {allowed:.0f}"
            )
            return


def _find_harmful_runs(records):
    """Find runs of a request that has ended upstreams, and barred others.

    Nodes of an older build send such a request on.
    """
    for call in records.calls:
        if call.status == 429 and not call.is_limited:
            yield f"{call.request_id}: refused as if it ended upstreams"
    if records.older_upstream_ids:
        return
    for identity, crashed_at in records.crashed_at_by_identity.items():
        if len(crashed_at) >= HARMFUL_CRASHES:
            yield from _find_late_harmful_runs(
                records, identity, crashed_at[HARMFUL_CRASHES - 1]
            )


def _find_late_harmful_runs(records, identity, third_crash_at):
    late_runs = []
    for run in records.runs:
        if records.harmful_identities_by_id.get(run.request_id) != identity:
            continue
        call = records.harmful_calls_by_id[run.request_id]
        if run.at > third_crash_at + RECOVERY_LIMIT_SECONDS and (
            records.has_no_faults(
                call.host,
                call.sent_at - RECOVERY_LIMIT_SECONDS,
                run.at,
                except_kind="crash",
            )
        ):
            late_runs.append(run)
    if len(late_runs) > HARMFUL_RUNS_ALLOWED:
        path, service = identity
        yield (
            f"{len(late_runs)} late runs of {path} from {service}, which had "
            f"ended {HARMFUL_CRASHES} upstreams at {third_crash_at:.2f}, the "
            f"last at {late_runs[-1].at:.2f}"
        )


def _find_version_violations(records):
    active_version_by_node = {}
    for probe in sorted(records.version_probes, key=lambda each: each.sent_at):
        node_key = (probe.host, probe.incarnation)
        active_version = active_version_by_node.get(node_key, 0)
        if probe.is_served:
            active_version_by_node[node_key] = max(
                active_version, probe.version
            )
        elif probe.version <= active_version:
            yield (
                f"host {probe.host}: version {active_version} was active, but "
                f"{probe.version} is missing at {probe.sent_at:.2f}"
            )
        else:
            published_at = records.published_at_by_version[probe.version]
            delay = probe.sent_at - published_at
            if delay > CONFIGURATION_LIMIT_SECONDS and records.are_in_touch(
                {probe.host},
                published_at - RECOVERY_LIMIT_SECONDS,
                probe.sent_at,
            ):
                yield (
                    f"host {probe.host}: version {probe.version} is not "
                    f"active after {delay:.2f} s"
                )


def _find_lost_requests(records):
    """Find requests without a response although no fault was injected."""
    run_request_ids = {run.request_id for run in records.runs}
    for call in records.calls:
        if call.status is not None or call.ended_at == math.inf:
            continue
        raced_with_close = (
            call.previous_requests > 0
            and call.request_id not in run_request_ids
            and call.ended_at - call.sent_at < CLOSE_RACE_SECONDS
        )
        if not raced_with_close and records.has_no_faults(
            None, call.sent_at - RECOVERY_LIMIT_SECONDS, call.ended_at
        ):
            yield (
                f"{call.request_id}: no response from host {call.host}, "
                f"{call.ended_at - call.sent_at:.2f} s after it was sent "
                f"at {call.sent_at:.2f}"
            )


def _find_refused_services(records):
    """Find services that stay refused after their upstreams were slow."""
    for service, _, ended in records.slow_times:
        start = ended + SLOW_RECOVERY_SECONDS
        end = start + SLOW_CHECK_SECONDS
        calls = [
            call
            for call in records.calls
            if call.service == service
            and not call.is_limited
            and start <= call.sent_at < end
        ]
        served = sum(call.status == 200 for call in calls)
        if (
            len(calls) >= MINIMUM_SLOW_CALLS
            and served < MINIMUM_SERVED_RATIO * len(calls)
            and records.has_no_faults(
                None, start - RECOVERY_LIMIT_SECONDS, end
            )
        ):
            yield (
                f"{service}: {served} of {len(calls)} requests served from "
                f"{start:.2f} on; its upstreams were slow until {ended:.2f}"
            )
