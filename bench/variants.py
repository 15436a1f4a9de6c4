"""Command line of nodes with replaced parts, as baselines to compare with.

``python -m bench.variants NAME --host-id=...`` runs such a node. The product
has no settings for this.
"""

import functools
import sys

import trio

from shallotbridge import cli
from shallotbridge.core import entry
from shallotbridge.core import errors
from shallotbridge.core import limit
from shallotbridge.core import owner_selection
from shallotbridge.core import retries
from shallotbridge.core import store

# Only the active version is kept, so that there is no base for a delta.
KEPT_VERSIONS = 1
# Delay between attempts of the baseline without a retry limit.
RETRY_INTERVAL_SECONDS = 0.001


class RoundRobinSelector(owner_selection.OwnerSelector):
    """Selects hosts in service in turn, whatever their load or health."""

    def __init__(self, *, own_host, hosts, random):
        super().__init__(own_host=own_host, hosts=hosts, random=random)
        self._hosts_of_service = hosts.hosts_of_service
        self._position = random.randrange(1000)

    def choose(self, call, excluded=()):
        """Return the next host, even one that the call already tried."""
        hosts_in_service = [
            host
            for host in self._hosts_of_service(call.route.service)
            if not host.is_leaving
            and call.configuration.is_in_service(host.failure_domain)
        ]
        if not hosts_in_service:
            raise errors.NoUpstreamError("no host is in service")
        self._position += 1
        host = hosts_in_service[self._position % len(hosts_in_service)]
        choice = owner_selection.Choice(
            host_id=host.host_id,
            candidates=(host.host_id,),
            group="any",
            reason="round robin",
            free=0,
        )
        return host, choice


class FixedConcurrencyLimit(limit.ConcurrencyLimit):
    """Limit that always allows all slots: no slow start, no halving."""

    @property
    def allowed(self):
        """Slots of the upstream."""
        return self._limits.slots

    def on_shed(self, started):
        """Ignore load shedding by the upstream."""


class UnlimitedRetryBudget(retries.RetryBudget):
    """Retry budget that is never exhausted."""

    def try_spend(self):
        """Allow any retry."""
        return True


class UnlimitedRetryEntryServer(entry.EntryServer):
    """Retries a call until its deadline after any kind of failure."""

    async def _send_with_retries(self, call, trace):
        last_error = None
        attempt = 0
        while trio.current_time() < call.deadline:
            attempt += 1
            try:
                host, choice = self._owner_selector.choose(call, ())
                trace.begin_attempt(attempt, host, choice)
                response = await self._send_attempt(host, call)
            except errors.CallError as error:
                last_error = error
                await trio.sleep(RETRY_INTERVAL_SECONDS)
            else:
                trace.end_attempt(outcome=errors.Outcome.RUN)
                return response
        raise last_error or errors.DeadlineBeforeSendError(
            "the deadline passed before the first attempt"
        )


def _use_full_copies():
    store.ConfigurationStore = functools.partial(
        store.ConfigurationStore, history=KEPT_VERSIONS
    )


def _use_unlimited_retries():
    entry.EntryServer = UnlimitedRetryEntryServer
    retries.RetryBudget = UnlimitedRetryBudget


def _use_baseline():
    _use_unlimited_retries()
    owner_selection.OwnerSelector = RoundRobinSelector
    limit.ConcurrencyLimit = FixedConcurrencyLimit


VARIANTS = {
    "full-copies": _use_full_copies,
    "unlimited-retries": _use_unlimited_retries,
    "baseline": _use_baseline,
}


def main():
    """Replace the parts of a variant and run the node command."""
    name = sys.argv.pop(1)
    VARIANTS[name]()
    sys.argv.insert(1, "node")
    cli.main()


if __name__ == "__main__":
    main()
