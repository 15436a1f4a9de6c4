"""The host list with revisions, deltas and indexes."""

import collections
import ipaddress
import json
import types

import trio

from .._generated import peer_pb2
from . import errors
from . import model

JOURNAL_CHANGES = 256
KEY_PREFIX = "hosts/"
# Revisions travel as uint64.
_MAXIMUM_REVISION = 2**63
_IS_LEAVING_BY_STATE = {"live": False, "leaving": True}


def parse_host_list(failure_domain, content):
    """Decode the platform's host list of a failure domain.

    Parameters
    ----------
    failure_domain : str
    content : bytes
        JSON as in section 5.4 of the design.

    Returns
    -------
    tuple
        Revision (int) and hosts (tuple of model.Host).

    Raises
    ------
    errors.MalformedHostListError
        The content is not such a list.

    Examples
    --------
    >>> parse_host_list("cairo-1", b'{"revision": 3, "hosts": []}')
    (3, ())
    """
    try:
        document = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise errors.MalformedHostListError(
            f"hosts of {failure_domain}: {len(content)} bytes are not JSON: "
            f"{error}"
        ) from error
    if not isinstance(document, dict):
        raise errors.MalformedHostListError(
            f"hosts of {failure_domain}: found {type(document).__name__}, "
            "expected an object"
        )
    revision = document.get("revision")
    entries = document.get("hosts")
    if type(revision) is not int or not isinstance(entries, list):
        raise errors.MalformedHostListError(
            f"hosts of {failure_domain}: found revision {revision!r} and "
            f"hosts of type {type(entries).__name__}, expected an integer "
            "and a list"
        )
    _check_revision(failure_domain, revision)
    hosts = tuple(_parse_host(failure_domain, entry) for entry in entries)
    if len({host.host_id for host in hosts}) != len(hosts):
        raise errors.MalformedHostListError(
            f"hosts of {failure_domain}: a host_id occurs twice"
        )
    return revision, hosts


def _parse_host(failure_domain, entry):
    if not isinstance(entry, dict):
        raise errors.MalformedHostListError(
            f"hosts of {failure_domain}: found {entry!r}, expected an object"
        )
    state = entry.get("state")
    if not isinstance(state, str) or state not in _IS_LEAVING_BY_STATE:
        raise errors.MalformedHostListError(
            f"hosts of {failure_domain}: found state {state!r}, expected "
            "live or leaving"
        )
    return _make_host(
        failure_domain,
        host_id=entry.get("host_id"),
        address=entry.get("address"),
        service=entry.get("service"),
        is_leaving=_IS_LEAVING_BY_STATE[state],
    )


def _make_host(failure_domain, *, host_id, address, service, is_leaving):
    for name, value in (("host_id", host_id), ("service", service)):
        if not isinstance(value, str) or not value or not _is_utf8(value):
            raise errors.MalformedHostListError(
                f"hosts of {failure_domain}: found {name} {value!r}, "
                "expected a name"
            )
    if not _is_address(address):
        raise errors.MalformedHostListError(
            f"hosts of {failure_domain}: {host_id}: found address "
            f"{address!r}, expected an IP address"
        )
    return model.Host(
        host_id=host_id,
        address=address,
        service=service,
        failure_domain=failure_domain,
        is_leaving=is_leaving,
    )


def _is_address(value):
    # ip_address also takes integers, which are no addresses in JSON.
    if not isinstance(value, str):
        return False
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def _is_utf8(value):
    # JSON can hold lone surrogates, which protobuf strings can not.
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _check_revision(failure_domain, revision):
    if not 1 <= revision < _MAXIMUM_REVISION:
        raise errors.MalformedHostListError(
            f"hosts of {failure_domain}: found revision {revision}, "
            f"expected 1 to {_MAXIMUM_REVISION - 1}"
        )


class _DomainHosts:
    """Hosts of one failure domain with the journal of their changes.

    ``journal`` holds (revision, host id); it is complete for changes after
    ``journal_start``.
    """

    def __init__(self):
        self.revision = 0
        self.hosts_by_id = {}
        self.journal = collections.deque()
        self.journal_start = 0

    def log(self, revision, host_id):
        self.journal.append((revision, host_id))
        if len(self.journal) > JOURNAL_CHANGES:
            self.journal_start, _ = self.journal.popleft()


class HostTable:
    """All known hosts, by failure domain and by service.

    Attributes
    ----------
    generation : int
        Grows with each change; see ``wait_change``.

    Examples
    --------
    >>> table = HostTable()
    >>> table.replace("cairo-1", 1, [])
    True
    >>> dict(table.revisions_by_domain)
    {'cairo-1': 1}
    """

    def __init__(self):
        self.generation = 0
        self._domains_by_name = {}
        self._hosts_by_id = {}
        self._ids_by_service = {}
        self._sorted_by_service = {}
        self._sorted_by_domain = {}
        self._changed = trio.Event()

    @property
    def hosts_by_id(self):
        """Read-only view of all hosts."""
        return types.MappingProxyType(self._hosts_by_id)

    @property
    def revisions_by_domain(self):
        """Revision of each known failure domain's list."""
        return {
            name: domain.revision
            for name, domain in self._domains_by_name.items()
        }

    def hosts_of_service(self, name):
        """Return the hosts of a service, ordered by id."""
        found = self._sorted_by_service.get(name)
        if found is None:
            host_ids = self._ids_by_service.get(name, ())
            found = tuple(
                self._hosts_by_id[host_id] for host_id in sorted(host_ids)
            )
            if host_ids:
                self._sorted_by_service[name] = found
        return found

    def hosts_of_domain(self, name):
        """Return the hosts of a failure domain, ordered by id."""
        found = self._sorted_by_domain.get(name)
        if found is None:
            domain = self._domains_by_name.get(name)
            if domain is None:
                return ()
            found = tuple(
                domain.hosts_by_id[host_id]
                for host_id in sorted(domain.hosts_by_id)
            )
            self._sorted_by_domain[name] = found
        return found

    def replace(self, failure_domain, revision, hosts):
        """Replace the list of a failure domain by one of a higher revision.

        Returns
        -------
        bool
            False if the revision is not higher.

        Raises
        ------
        errors.MalformedHostListError
            The revision is out of range.
        """
        _check_revision(failure_domain, revision)
        domain = self._domains_by_name.setdefault(
            failure_domain, _DomainHosts()
        )
        if revision <= domain.revision:
            return False
        wanted_by_id = {host.host_id: host for host in hosts}
        removed = domain.hosts_by_id.keys() - wanted_by_id.keys()
        changed = [
            host
            for host_id, host in wanted_by_id.items()
            if domain.hosts_by_id.get(host_id) != host
        ]
        self._change(failure_domain, revision, changed, removed)
        return True

    def apply(self, update):
        """Apply a peer's full list or delta.

        A delta holds the last state of each host that changed after its
        base, so it applies to any revision from its base on.

        Parameters
        ----------
        update : peer_pb2.HostUpdate

        Returns
        -------
        bool
            False if its revision is not higher.

        Raises
        ------
        errors.DeltaBaseError
            The delta starts above the known revision.
        errors.MalformedHostListError
            The update is not valid; nothing is applied.
        """
        name = update.failure_domain
        if not name:
            raise errors.MalformedHostListError(
                "a host update names no failure domain"
            )
        _check_revision(name, update.revision)
        changed = [
            _make_host(
                name,
                host_id=host.host_id,
                address=host.address,
                service=host.service,
                is_leaving=host.leaving,
            )
            for host in update.changed
        ]
        host_ids = [host.host_id for host in changed] + list(update.removed)
        if len(set(host_ids)) != len(host_ids):
            raise errors.MalformedHostListError(
                f"hosts of {name}: an update names a host twice"
            )
        if not update.base_revision:
            return self.replace(name, update.revision, changed)
        known = self.revisions_by_domain.get(name, 0)
        if update.revision <= known:
            return False
        if update.base_revision > known:
            raise errors.DeltaBaseError(
                f"hosts of {name}: delta starts from revision "
                f"{update.base_revision}, known is {known}"
            )
        self._change(name, update.revision, changed, update.removed)
        return True

    def updates_since(self, revisions_by_domain):
        """Return the updates for a node that knows certain revisions.

        Parameters
        ----------
        revisions_by_domain : mapping of str to int

        Returns
        -------
        list of peer_pb2.HostUpdate
            For each domain of which more is known, a delta if the journal
            reaches back to the revision, else the full list.
        """
        updates = []
        for name in sorted(self._domains_by_name):
            domain = self._domains_by_name[name]
            base = revisions_by_domain.get(name, 0)
            if base >= domain.revision:
                continue
            is_delta = 0 < base and base >= domain.journal_start
            update = peer_pb2.HostUpdate(
                failure_domain=name,
                base_revision=base if is_delta else 0,
                revision=domain.revision,
            )
            host_ids = set(domain.hosts_by_id)
            if is_delta:
                host_ids = {
                    host_id
                    for revision, host_id in domain.journal
                    if revision > base
                }
            for host_id in sorted(host_ids):
                host = domain.hosts_by_id.get(host_id)
                if host is None:
                    update.removed.append(host_id)
                else:
                    update.changed.add(
                        host_id=host_id,
                        address=host.address,
                        service=host.service,
                        leaving=host.is_leaving,
                    )
            updates.append(update)
        return updates

    def has_updates_since(self, revisions_by_domain):
        """Tell whether ``updates_since`` would return anything."""
        return any(
            domain.revision > revisions_by_domain.get(name, 0)
            for name, domain in self._domains_by_name.items()
        )

    async def wait_for_change(self, generation):
        """Wait until the generation is above the given one; return it."""
        while self.generation <= generation:
            await self._changed.wait()
        return self.generation

    def _change(self, failure_domain, revision, changed, removed):
        domain = self._domains_by_name[failure_domain]
        domain.revision = revision
        for host in changed:
            if domain.hosts_by_id.get(host.host_id) != host:
                domain.hosts_by_id[host.host_id] = host
                self._reindex(host.host_id)
            domain.log(revision, host.host_id)
        for host_id in sorted(removed):
            if domain.hosts_by_id.pop(host_id, None) is not None:
                self._reindex(host_id)
            domain.log(revision, host_id)
        self._sorted_by_domain.pop(failure_domain, None)
        self.generation += 1
        changed_event, self._changed = self._changed, trio.Event()
        changed_event.set()

    def _reindex(self, host_id):
        """Update the indexes over all domains for one host.

        Lists of two domains can both hold a host that moved; a live entry
        is preferred, then the first domain by name, so that the result does
        not depend on the order of updates.
        """
        entries = [
            domain.hosts_by_id[host_id]
            for domain in self._domains_by_name.values()
            if host_id in domain.hosts_by_id
        ]
        previous = self._hosts_by_id.pop(host_id, None)
        if previous is not None:
            self._ids_by_service[previous.service].discard(host_id)
            if not self._ids_by_service[previous.service]:
                del self._ids_by_service[previous.service]
            self._sorted_by_service.pop(previous.service, None)
        if entries:
            host = min(
                entries,
                key=lambda entry: (entry.is_leaving, entry.failure_domain),
            )
            self._hosts_by_id[host_id] = host
            self._ids_by_service.setdefault(host.service, set()).add(host_id)
            self._sorted_by_service.pop(host.service, None)
