"""Table of all hosts with revisions, deltas and indexes."""

import collections
import ipaddress
import json
import types

import trio

from .._generated import peer_pb2
from . import errors
from . import model

MAXIMUM_JOURNAL_CHANGES = 256
KEY_PREFIX = "hosts/"
# Exclusive limit; messages hold revisions as uint64.
_MAXIMUM_REVISION = 2**63
_IS_LEAVING_BY_STATE = {"live": False, "leaving": True}


def parse_host_list(failure_domain, content):
    """Decode the platform's host list of a failure domain.

    Parameters
    ----------
    failure_domain : str
    content : bytes
        JSON object with a revision and a list of hosts, as in section 5.4
        of the design.

    Returns
    -------
    tuple
        Revision (int) and hosts (tuple of model.Host).

    Raises
    ------
    errors.MalformedHostListError
        The content is not a valid host list.

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
    if not _is_ip_address(address):
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


def _is_ip_address(value):
    # ip_address() also accepts integers, which are not valid in the JSON.
    if not isinstance(value, str):
        return False
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def _is_utf8(value):
    # JSON strings can contain lone surrogates; protobuf strings cannot.
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
    """Hosts of one failure domain with a journal of recent changes.

    ``journal`` holds (revision, host id) pairs; it is complete for changes
    after revision ``journal_start``.
    """

    def __init__(self):
        self.revision = 0
        self.hosts_by_id = {}
        self.journal = collections.deque()
        self.journal_start = 0

    def record_change(self, revision, host_id):
        self.journal.append((revision, host_id))
        if len(self.journal) > MAXIMUM_JOURNAL_CHANGES:
            self.journal_start, _ = self.journal.popleft()


class HostTable:
    """All known hosts, indexed by failure domain and by service.

    Attributes
    ----------
    generation : int
        Increases with each change; see ``wait_for_change``.

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
        """Read-only view of all hosts by id."""
        return types.MappingProxyType(self._hosts_by_id)

    @property
    def revisions_by_domain(self):
        """Revision of the host list of each known failure domain."""
        return {
            name: domain.revision
            for name, domain in self._domains_by_name.items()
        }

    def hosts_of_service(self, name):
        """Return the hosts of a service, sorted by id."""
        hosts = self._sorted_by_service.get(name)
        if hosts is None:
            host_ids = self._ids_by_service.get(name, ())
            hosts = tuple(
                self._hosts_by_id[host_id] for host_id in sorted(host_ids)
            )
            if host_ids:
                self._sorted_by_service[name] = hosts
        return hosts

    def hosts_of_domain(self, name):
        """Return the hosts of a failure domain, sorted by id."""
        hosts = self._sorted_by_domain.get(name)
        if hosts is None:
            domain = self._domains_by_name.get(name)
            if domain is None:
                return ()
            hosts = tuple(
                domain.hosts_by_id[host_id]
                for host_id in sorted(domain.hosts_by_id)
            )
            self._sorted_by_domain[name] = hosts
        return hosts

    def replace(self, failure_domain, revision, hosts):
        """Replace the list of a failure domain if the revision is higher.

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
        new_by_id = {host.host_id: host for host in hosts}
        removed = domain.hosts_by_id.keys() - new_by_id.keys()
        changed = [
            host
            for host_id, host in new_by_id.items()
            if domain.hosts_by_id.get(host_id) != host
        ]
        self._apply_changes(failure_domain, revision, changed, removed)
        return True

    def apply(self, update):
        """Apply a full list or a delta from a peer.

        A delta holds the latest state of each host that changed after its
        base, so it can be applied to its base and any later revision.

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
            The base of the delta is above the known revision.
        errors.MalformedHostListError
            The update is not valid; nothing is applied.
        """
        name = update.failure_domain
        if not name:
            raise errors.MalformedHostListError(
                "a host update has no failure domain"
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
                f"hosts of {name}: an update contains a host_id twice"
            )
        if not update.base_revision:
            return self.replace(name, update.revision, changed)
        known_revision = self.revisions_by_domain.get(name, 0)
        if update.revision <= known_revision:
            return False
        if update.base_revision > known_revision:
            raise errors.DeltaBaseError(
                f"hosts of {name}: the base of the delta is revision "
                f"{update.base_revision}, the known revision is "
                f"{known_revision}"
            )
        self._apply_changes(name, update.revision, changed, update.removed)
        return True

    def updates_since(self, revisions_by_domain):
        """Return the host changes since the given revisions.

        Parameters
        ----------
        revisions_by_domain : mapping of str to int

        Returns
        -------
        list of peer_pb2.HostUpdate
            For each domain with a higher revision, a delta if the journal
            reaches back to the given revision, else the full list.
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
        """Return whether ``updates_since`` would return any update."""
        return any(
            domain.revision > revisions_by_domain.get(name, 0)
            for name, domain in self._domains_by_name.items()
        )

    async def wait_for_change(self, generation):
        """Wait until the generation is above a given one; return it."""
        while self.generation <= generation:
            await self._changed.wait()
        return self.generation

    def _apply_changes(self, failure_domain, revision, changed, removed):
        domain = self._domains_by_name[failure_domain]
        domain.revision = revision
        for host in changed:
            if domain.hosts_by_id.get(host.host_id) != host:
                domain.hosts_by_id[host.host_id] = host
                self._reindex(host.host_id)
            domain.record_change(revision, host.host_id)
        for host_id in sorted(removed):
            if domain.hosts_by_id.pop(host_id, None) is not None:
                self._reindex(host_id)
            domain.record_change(revision, host_id)
        self._sorted_by_domain.pop(failure_domain, None)
        self.generation += 1
        changed_event, self._changed = self._changed, trio.Event()
        changed_event.set()

    def _reindex(self, host_id):
        """Update the indexes across all domains for one host.

        The lists of two domains can both contain a host that moved. An entry
        that is not leaving is preferred, then the first domain by name, so
        the result does not depend on the order of updates.
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
