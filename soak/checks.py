"""The promises, checked on what callers and upstreams saw."""

import collections
import math

# Agreed bounds of the users' deployments, s.
CONTACT_SECONDS = 3.0
CONFIGURATION_SECONDS = 2.0
DRAIN_SECONDS = 2.0
DOMAIN_OUT_SECONDS = 5.0
# A request that crosses the close of an idle connection ends within this, s.
CROSSING_SECONDS = 0.2
_NOT_RUN = (408, 421, 429, 503)


def find_violations(records):
    """Return one text for each promise that was broken, most serious first."""
    return [
        *_wrong_answers(records),
        *_runs(records),
        *_late_work(records),
        *_versions(records),
        *_cut_requests(records),
    ]


def _wrong_answers(records):
    for call in records.calls:
        if call.status == 200 and not call.is_own_answer:
            yield f"{call.request_id}: the answer is not its own or not whole"


def _runs(records):
    runs_by_id = collections.Counter(run.request_id for run in records.runs)
    asked = {call.request_id: call for call in records.calls}
    for request_id, count in runs_by_id.items():
        call = asked.get(request_id)
        if request_id in records.looked_for:
            continue
        if call is None:
            yield f"{request_id}: run, but no caller sent it"
        elif not call.is_idempotent and count > 1:
            yield f"{request_id}: not idempotent, run {count} times"
        elif not call.is_idempotent and call.status in _NOT_RUN:
            yield f"{request_id}: answered {call.status}, and has run"


def _late_work(records):
    """Runs on upstreams that leave, or in domains that are out."""
    for run in records.runs:
        left = records.leaving_at_by_id.get(run.upstream_id)
        if left is not None and run.at > left + DRAIN_SECONDS:
            if records.is_calm(None, left - CONTACT_SECONDS, run.at):
                yield (
                    f"{run.request_id}: run on {run.upstream_id} "
                    f"{run.at - left:.2f} s after it began to leave"
                )
        domain = records.domain_by_upstream.get(run.upstream_id)
        for out, began, ended in records.domains_out:
            if out == domain and began + DOMAIN_OUT_SECONDS < run.at < ended:
                if records.is_calm(None, began - CONTACT_SECONDS, run.at):
                    yield (
                        f"{run.request_id}: run in {domain} "
                        f"{run.at - began:.2f} s after it was taken out"
                    )


def _versions(records):
    served_by_node = {}
    for sight in sorted(records.sights, key=lambda one: one.sent_at):
        node = (sight.host, sight.incarnation)
        known = served_by_node.get(node, 0)
        if sight.is_served:
            served_by_node[node] = max(known, sight.version)
        elif sight.version <= known:
            yield (
                f"host {sight.host}: version {known} was in force, and "
                f"{sight.version} is unknown at {sight.sent_at:.2f}"
            )
        else:
            published = records.published_at_by_version[sight.version]
            late = sight.sent_at - published
            if late > CONFIGURATION_SECONDS and records.is_calm(
                None, published - CONTACT_SECONDS, sight.sent_at
            ):
                yield (
                    f"host {sight.host}: version {sight.version} is not in "
                    f"force after {late:.2f} s"
                )


def _cut_requests(records):
    """Requests without an answer although only planned work went on."""
    ran = {run.request_id for run in records.runs}
    for call in records.calls:
        if call.status is not None or call.ended_at == math.inf:
            continue
        has_crossed = (
            call.age > 0
            and call.request_id not in ran
            and call.ended_at - call.sent_at < CROSSING_SECONDS
        )
        if not has_crossed and records.is_calm(
            None, call.sent_at - CONTACT_SECONDS, call.ended_at
        ):
            yield (
                f"{call.request_id}: no answer from host {call.host}, "
                f"{call.ended_at - call.sent_at:.2f} s after it was sent "
                f"at {call.sent_at:.2f}"
            )
