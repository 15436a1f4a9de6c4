"""Measure what control traffic alone costs a node, by role in the tree."""

import time

from shallotbridge.core import topology

from . import fleet
from . import processes

BOUND_PERCENT = 2.3
BOUND_MEBIBYTES = 128
# One failure domain with 3 readers, 4 relays of 16 children, and leaves.
NODES = 36
WINDOW_SECONDS = 20.0
FAST_CHANGES_PER_SECOND = 3.0
HOST_CHANGES_PER_SECOND = 2.0
# Target deployment in section 2.5 of the design page.
TARGET_HOSTS = 7200
TARGET_DOMAINS = 11
TARGET_RESTARTS_PER_DAY = 2730
# A restart changes a host list twice: the host is leaving or removed, then
# it is live again.
CHANGES_PER_RESTART = 2
_MEBIBYTE = 2**20


def _hosts_by_role(measured_fleet):
    """Return the hosts of each role, from their positions in the tree."""
    order = measured_fleet.tree_order(measured_fleet.domains[0])
    fan_out, readers = topology.FAN_OUT, topology.READERS_PER_DOMAIN
    children = [0] * len(order)
    for position in range(readers, len(order)):
        first = (position - readers) // fan_out
        for parent in range(first, first + topology.MAXIMUM_PARENTS):
            children[parent] += 1
    roles = {"reader, 16 children": [], "relay, 16 children": [], "leaf": []}
    for position, host in enumerate(order):
        if position < readers and children[position] == 2 * fan_out:
            roles["reader, 16 children"].append(host)
        elif position >= readers and children[position] == 2 * fan_out:
            roles["relay, 16 children"].append(host)
        elif not children[position]:
            roles["leaf"].append(host)
    return roles


def _measure_window(measured_fleet, seconds, rate, make_change):
    """Make changes at a rate and measure the nodes meanwhile.

    Parameters
    ----------
    measured_fleet : fleet.Fleet
    seconds : float
        Duration of the measurement.
    rate : float
        Changes per second.
    make_change : callable
        ``make_change(count)`` makes one change; ``count`` is the number of
        earlier ones.

    Returns
    -------
    usage_by_id : dict
        Used fraction of a core, message bytes per second and resident
        bytes, by host id.
    rate : float
        Actual number of changes per second.
    """
    before = measured_fleet.resource_usage()
    bytes_before = measured_fleet.control_bytes()
    started = time.monotonic()
    count = 0
    while (elapsed := time.monotonic() - started) < seconds:
        if count < elapsed * rate:
            make_change(count)
            count += 1
        time.sleep(0.01)
    elapsed = time.monotonic() - started
    after = measured_fleet.resource_usage()
    bytes_after = measured_fleet.control_bytes()
    usage_by_id = {
        host_id: (
            (after[host_id][0] - before[host_id][0]) / elapsed,
            (bytes_after[host_id] - bytes_before[host_id]) / elapsed,
            after[host_id][1],
        )
        for host_id in before
    }
    return usage_by_id, count / elapsed


def _mean(usage_by_id, hosts, index):
    return sum(usage_by_id[host.host_id][index] for host in hosts) / len(hosts)


def _make_row(label, services, role, hosts, usage_by_id, rate, idle):
    core_fraction, size, memory = (
        _mean(usage_by_id, hosts, index) for index in range(3)
    )
    row = {
        "load": label,
        "services": services,
        "role": role,
        "changes/s": rate,
        "% of a core": 100 * core_fraction,
        "message B/s": size,
        "RSS MiB": memory / _MEBIBYTE,
    }
    if idle is not None and rate > 0:
        row["processor ms a change"] = (
            1000 * (core_fraction - _mean(idle, hosts, 0)) / rate
        )
        row["message B a change"] = (size - _mean(idle, hosts, 1)) / rate
    else:
        row["processor ms a change"] = row["message B a change"] = 0.0
    return row


def _remote_host_entries(hosts, options, service_offset):
    """Return host lists of ten more failure domains with leaving hosts.

    Leaving hosts are not part of any tree, so nodes do not call these
    addresses, at which no node runs. Nodes store and exchange them like
    other hosts.
    """
    domains = TARGET_DOMAINS - 1
    per_domain = (TARGET_HOSTS - len(hosts)) // domains
    return {
        f"far-{number:02}": [
            {
                "host_id": f"far-{number:02}-host-{index:04}",
                "address": f"10.{number}.{index // 200}.{index % 200 + 1}",
                "service": f"service-{(index + service_offset) % 880:03}",
                "state": "leaving",
            }
            for index in range(per_domain)
        ]
        for number in range(domains)
    }


def _measure_services(options, services, seconds):
    names = [f"service-{number:03}" for number in range(services)]
    hosts = fleet.spread_hosts(options, ["d01"], names, NODES)
    rows = []
    with fleet.Fleet(
        options=options, hosts=hosts, services=names
    ) as measured_fleet:
        measured_fleet.start()
        roles = _hosts_by_role(measured_fleet)

        def add_rows(label, usage_by_id, rate, idle):
            for role, members in roles.items():
                rows.append(
                    _make_row(
                        label, services, role, members, usage_by_id, rate, idle
                    )
                )

        def publish(count):
            measured_fleet.publish()

        idle, _ = _measure_window(measured_fleet, seconds, 0.0, publish)
        add_rows("idle", idle, 0.0, None)
        per_second = fleet.CHANGES_PER_DAY / fleet.SECONDS_PER_DAY
        for label, rate in (
            ("4,400 changes a day", per_second),
            ("44,000 changes a day", 10 * per_second),
            ("fast changes", FAST_CHANGES_PER_SECOND),
        ):
            usage_by_id, rate = _measure_window(
                measured_fleet, seconds, rate, publish
            )
            add_rows(label, usage_by_id, rate, idle)
        measured_fleet.wait_until_active(measured_fleet.version)
        _add_host_rows(options, measured_fleet, seconds, add_rows)
    return rows


def _add_host_rows(options, measured_fleet, seconds, add_rows):
    """Measure host changes with the target's number of hosts."""
    entries_by_domain = _remote_host_entries(measured_fleet.hosts, options, 0)
    for domain, entries in entries_by_domain.items():
        measured_fleet.put(f"hosts/{domain}", json=entries)
    wanted = len(measured_fleet.hosts) + sum(
        map(len, entries_by_domain.values())
    )
    processes.wait_until(
        lambda: all(
            processes.fetch_node_status(host.address)["hosts_known"] == wanted
            for host in measured_fleet.hosts
        ),
        description=f"{wanted} hosts known everywhere",
    )
    time.sleep(2.0)

    def change_host(count):
        # Moves one host of one failure domain to another service.
        domain = sorted(entries_by_domain)[count % len(entries_by_domain)]
        entry = entries_by_domain[domain][
            count % len(entries_by_domain[domain])
        ]
        entry["service"] = f"service-{count % 800:03}"
        measured_fleet.put(f"hosts/{domain}", json=entries_by_domain[domain])

    idle, _ = _measure_window(measured_fleet, seconds, 0.0, change_host)
    add_rows("idle, 7,200 hosts", idle, 0.0, None)
    usage_by_id, rate = _measure_window(
        measured_fleet, seconds, HOST_CHANGES_PER_SECOND, change_host
    )
    add_rows("host changes, 7,200 hosts", usage_by_id, rate, idle)


def summarize(rows):
    """Return the cost at the target, from the measured cost of a change."""
    target_rows = []
    services = max(row["services"] for row in rows)
    by_key = {
        (row["load"], row["role"]): row
        for row in rows
        if row["services"] == services
    }
    changes_per_second = fleet.CHANGES_PER_DAY / fleet.SECONDS_PER_DAY
    host_changes_per_second = (
        TARGET_RESTARTS_PER_DAY * CHANGES_PER_RESTART / fleet.SECONDS_PER_DAY
    )
    for role in dict.fromkeys(row["role"] for row in rows):
        idle = by_key["idle, 7,200 hosts", role]
        change = by_key["fast changes", role]
        host = by_key["host changes, 7,200 hosts", role]
        target_rows.append(
            {
                "role at the target": role,
                "% of a core": idle["% of a core"]
                + (
                    change["processor ms a change"] * changes_per_second
                    + host["processor ms a change"] * host_changes_per_second
                )
                # 10 ms of processor time per second are 1 % of a core.
                / 10,
                "message B/s": idle["message B/s"]
                + change["message B a change"] * changes_per_second
                + host["message B a change"] * host_changes_per_second,
                "RSS MiB": max(idle["RSS MiB"], host["RSS MiB"]),
            }
        )
    return target_rows


def run(options):
    """Measure with 20 and 880 services; extrapolate the target's cost."""
    seconds = 6.0 if options.is_quick else WINDOW_SECONDS
    rows = []
    for services in (20,) if options.is_quick else (20, 880):
        rows += _measure_services(options, services, seconds)
    fleet.print_table(
        f"Control cost (bounds {BOUND_PERCENT} % of a core, "
        f"{BOUND_MEBIBYTES} MB)",
        rows,
    )
    target = summarize(rows)
    fleet.print_table(
        "Control cost at the target, from the slopes above", target
    )
    return rows + target
