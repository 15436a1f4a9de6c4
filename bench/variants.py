"""Entry point of nodes that differ from the product, as baselines.

``python -m bench.variants NAME --host-id=...`` runs a node with parts of it
replaced. The product has no settings for this.
"""

import functools
import sys

import trio

from shallotbridge import cli
from shallotbridge.core import directory
from shallotbridge.core import entry
from shallotbridge.core import errors
from shallotbridge.core import limit
from shallotbridge.core import retries
from shallotbridge.core import store

# Only the version in force is kept, so that no base of a delta is known.
FULL_COPY_HISTORY = 1
# Pause between two sendings of a baseline that never stops retrying.
RETRY_SECONDS = 0.001


class RoundRobin(directory.OwnerDirectory):
    """The next host in service, whatever is known of it."""

    def __init__(self, *, own_host, hosts, random):
        super().__init__(own_host=own_host, hosts=hosts, random=random)
        self._hosts_of_service = hosts.hosts_of_service
        self._position = random.randrange(1000)

    def choose(self, call, excluded=()):
        """Return the next host, also one that was tried for the call."""
        found = [
            host
            for host in self._hosts_of_service(call.route.service)
            if not host.is_leaving
            and call.configuration.is_in_service(host.failure_domain)
        ]
        if not found:
            raise errors.NoUpstreamError("no host is in service")
        self._position += 1
        host = found[self._position % len(found)]
        choice = directory.Choice(
            host_id=host.host_id,
            candidates=(host.host_id,),
            group="any",
            reason="round robin",
            free=0,
        )
        return host, choice


class FixedLimit(limit.ConcurrencyLimit):
    """All slots at any time, without a ramp and without halving."""

    @property
    def allowed(self):
        """Slots of the upstream."""
        return self._limits.slots

    def on_shed(self, started):
        """Ignore what the upstream says."""


class UnlimitedBudget(retries.RetryBudget):
    """A budget that is never empty."""

    def try_spend(self):
        """Allow any retry."""
        return True


class UnlimitedEntry(entry.EntryServer):
    """Sends a call again until its deadline, whatever the failure was."""

    async def _run(self, call, trace):
        last_error = None
        attempt = 0
        while trio.current_time() < call.deadline:
            attempt += 1
            try:
                host, choice = self._directory.choose(call, ())
                trace.begin(attempt, host, choice)
                response = await self._attempt(host, call)
            except errors.CallError as error:
                last_error = error
                await trio.sleep(RETRY_SECONDS)
            else:
                trace.end(outcome=errors.Outcome.RUN)
                return response
        raise last_error or errors.DeadlineBeforeSendError("no time is left")


def _use_full_copies():
    store.ConfigurationStore = functools.partial(
        store.ConfigurationStore, history=FULL_COPY_HISTORY
    )


def _use_unlimited_retries():
    entry.EntryServer = UnlimitedEntry
    retries.RetryBudget = UnlimitedBudget


def _use_baseline():
    _use_unlimited_retries()
    directory.OwnerDirectory = RoundRobin
    limit.ConcurrencyLimit = FixedLimit


VARIANTS = {
    "full-copies": _use_full_copies,
    "unlimited-retries": _use_unlimited_retries,
    "baseline": _use_baseline,
}


def main():
    """Replace parts and run the node command."""
    name = sys.argv.pop(1)
    VARIANTS[name]()
    sys.argv.insert(1, "node")
    cli.main()


if __name__ == "__main__":
    main()
