"""Processor time and memory of nodes for control alone, by role."""

import time

from shallotbridge.core import topology

from . import fleet
from . import processes

BOUND_PERCENT = 2.3
BOUND_MEBIBYTES = 128
# One failure domain: 3 readers, 4 nodes that serve 16 children, leaves.
NODES = 36
WINDOW_SECONDS = 20.0
FAST_CHANGES_PER_SECOND = 3.0
HOST_CHANGES_PER_SECOND = 2.0
# Target of section 2.5 of the design page.
TARGET_HOSTS = 7200
TARGET_DOMAINS = 11
TARGET_RESTARTS_PER_DAY = 2730
# A restart is two changes: leaving or gone, and back.
CHANGES_PER_RESTART = 2
_MEBIBYTE = 2**20


def _roles(running):
    """Return the hosts of each role by its place in the tree."""
    order = running.positions(running.domains[0])
    fan_out, readers = topology.FAN_OUT, topology.READERS
    children = [0] * len(order)
    for position in range(readers, len(order)):
        first = (position - readers) // fan_out
        for parent in range(first, first + topology.PARENTS):
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


def _window(running, seconds, rate, act):
    """Return (processor share, bytes/s, RSS) by host id and the acts."""
    before = running.processor_seconds()
    bytes_before = running.control_bytes()
    started = time.monotonic()
    count = 0
    while (elapsed := time.monotonic() - started) < seconds:
        if count < elapsed * rate:
            act(count)
            count += 1
        time.sleep(0.01)
    elapsed = time.monotonic() - started
    after = running.processor_seconds()
    bytes_after = running.control_bytes()
    found = {
        host_id: (
            (after[host_id][0] - before[host_id][0]) / elapsed,
            (bytes_after[host_id] - bytes_before[host_id]) / elapsed,
            after[host_id][1],
        )
        for host_id in before
    }
    return found, count / elapsed


def _mean(found, hosts, index):
    return sum(found[host.host_id][index] for host in hosts) / len(hosts)


def _row(label, services, role, hosts, found, rate, idle):
    share, size, memory = (_mean(found, hosts, index) for index in range(3))
    row = {
        "load": label,
        "services": services,
        "role": role,
        "changes/s": rate,
        "% of a core": 100 * share,
        "message B/s": size,
        "RSS MiB": memory / _MEBIBYTE,
    }
    if idle is not None and rate > 0:
        row["processor ms a change"] = (
            1000 * (share - _mean(idle, hosts, 0)) / rate
        )
        row["message B a change"] = (size - _mean(idle, hosts, 1)) / rate
    else:
        row["processor ms a change"] = row["message B a change"] = 0.0
    return row


def _far_entries(hosts, options, changed):
    """Return the host lists of ten more domains; their hosts are leaving.

    Hosts that leave take part in no tree, so that nothing calls addresses
    where no node runs; nodes keep and exchange them like others.
    """
    domains = TARGET_DOMAINS - 1
    per_domain = (TARGET_HOSTS - len(hosts)) // domains
    return {
        f"far-{number:02}": [
            {
                "host_id": f"far-{number:02}-host-{place:04}",
                "address": f"10.{number}.{place // 200}.{place % 200 + 1}",
                "service": f"service-{(place + changed) % 880:03}",
                "state": "leaving",
            }
            for place in range(per_domain)
        ]
        for number in range(domains)
    }


def _measure_services(options, services, seconds):
    names = [f"service-{number:03}" for number in range(services)]
    hosts = fleet.spread_hosts(options, ["d01"], names, NODES)
    rows = []
    with fleet.Fleet(options=options, hosts=hosts, services=names) as running:
        running.start()
        roles = _roles(running)

        def add_rows(label, found, rate, idle):
            for role, members in roles.items():
                rows.append(
                    _row(label, services, role, members, found, rate, idle)
                )

        def publish(count):
            running.publish()

        idle, _ = _window(running, seconds, 0.0, publish)
        add_rows("idle", idle, 0.0, None)
        per_second = fleet.CHANGES_PER_DAY / fleet.SECONDS_PER_DAY
        for label, rate in (
            ("4,400 changes a day", per_second),
            ("44,000 changes a day", 10 * per_second),
            ("fast changes", FAST_CHANGES_PER_SECOND),
        ):
            found, rate = _window(running, seconds, rate, publish)
            add_rows(label, found, rate, idle)
        running.wait_in_force(running.version)
        _add_host_rows(options, running, seconds, add_rows)
    return rows


def _add_host_rows(options, running, seconds, add_rows):
    """Measure host changes with the own list and with the target's."""
    lists = _far_entries(running.hosts, options, 0)
    for domain, entries in lists.items():
        running.put(f"hosts/{domain}", json=entries)
    wanted = len(running.hosts) + sum(map(len, lists.values()))
    processes.wait_until(
        lambda: all(
            processes.node_status(host.address)["hosts_known"] == wanted
            for host in running.hosts
        ),
        description=f"{wanted} hosts known everywhere",
    )
    time.sleep(2.0)

    def change_host(count):
        # One host of one domain changes its service.
        domain = sorted(lists)[count % len(lists)]
        entry = lists[domain][count % len(lists[domain])]
        entry["service"] = f"service-{count % 800:03}"
        running.put(f"hosts/{domain}", json=lists[domain])

    idle, _ = _window(running, seconds, 0.0, change_host)
    add_rows("idle, 7,200 hosts", idle, 0.0, None)
    found, rate = _window(
        running, seconds, HOST_CHANGES_PER_SECOND, change_host
    )
    add_rows("host changes, 7,200 hosts", found, rate, idle)


def summarize(rows):
    """Return what the target costs, from the measured slopes."""
    found = []
    services = max(row["services"] for row in rows)
    by_key = {
        (row["load"], row["role"]): row
        for row in rows
        if row["services"] == services
    }
    changes = fleet.CHANGES_PER_DAY / fleet.SECONDS_PER_DAY
    host_changes = (
        TARGET_RESTARTS_PER_DAY * CHANGES_PER_RESTART / fleet.SECONDS_PER_DAY
    )
    for role in dict.fromkeys(row["role"] for row in rows):
        idle = by_key["idle, 7,200 hosts", role]
        change = by_key["fast changes", role]
        host = by_key["host changes, 7,200 hosts", role]
        found.append(
            {
                "role at the target": role,
                "% of a core": idle["% of a core"]
                + (
                    change["processor ms a change"] * changes
                    + host["processor ms a change"] * host_changes
                )
                / 10,
                "message B/s": idle["message B/s"]
                + change["message B a change"] * changes
                + host["message B a change"] * host_changes,
                "RSS MiB": max(idle["RSS MiB"], host["RSS MiB"]),
            }
        )
    return found


def run(options):
    """Measure with 20 and 880 services, and work out the target's cost."""
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
