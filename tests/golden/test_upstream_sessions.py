"""Golden sessions: faulty upstreams and interrupted connections."""

import dataclasses

import pytest
import trio

from standins import upstream as upstream_standin

GAUTENG = {
    "example": "molarline",
    "hosts": (
        "gauteng-1: tracking-desk 2, lab-orders 1; "
        "gauteng-2: tracking-desk 2, lab-orders 1; "
        "gauteng-3: tracking-desk 2"
    ),
    "limits": {"ramp_seconds": 6.0, "slots": 6},
    "behaviour": {"service_seconds": 0.06},
}
ROUTES = ["parcel-lookup", "courier-collection"]


def change_behaviour(mesh, host_id, **changes):
    """Change the behaviour of an upstream."""
    upstream = mesh.upstreams_by_id[host_id]
    upstream.behaviour = dataclasses.replace(upstream.behaviour, **changes)


def test_a_cold_start_meets_full_load(golden):
    """P4 holds when a fleet starts under load."""

    async def script(mesh):
        mesh.publish_host_lists()
        mesh.publish()
        for host_id in mesh.hosts_by_id:
            await mesh.start_upstream(host_id)
            await mesh.start_node(host_id)
        await mesh.converge(maximum_seconds=10.0)
        async with mesh.load(rate=70, routes=ROUTES):
            await trio.sleep(3)
            mesh.phase("the first 3 s")
            await trio.sleep(4)
        mesh.phase("warm")
        crashes = [up.crashes for up in mesh.upstreams_by_id.values()]
        assert not any(crashes), f"P4: crashes {crashes}"

    golden(script, seed=701, **GAUTENG)


def test_upstreams_misbehave(golden):
    """P4, P6, P7, P8 and P9 hold when upstreams violate their protocol."""

    async def script(mesh):
        await mesh.start_fleet()
        first, second, third = mesh.find_host_ids(service="tracking-desk")[:3]
        async with mesh.load(rate=25, routes=ROUTES, keys=True):
            await trio.sleep(4)
            mesh.phase("normal service")
            mesh.history.is_ramp_predictable = False
            mesh.note(f"the upstream of {first} turns cold without a sign")
            mesh.upstreams_by_id[first].reset_warm_up()
            await trio.sleep(3)
            mesh.phase("cold without a sign")
            mesh.note(f"{second} sheds what is above 1 request")
            change_behaviour(mesh, second, slots=1)
            await trio.sleep(3)
            mesh.phase("shedding")
            change_behaviour(mesh, second, slots=6)
            mesh.note(f"{second} says that it is leaving, {first} the reverse")
            mesh.upstreams_by_id[second].override_reports(
                {"health": {"state": "leaving"}}
            )
            mesh.upstreams_by_id[first].override_reports(
                {"health": {"state": "ok"}, "load": {"in_use": 0, "slots": 99}}
            )
            mesh.mark_upstream_leaving(first)
            await trio.sleep(5.5)
            mesh.phase("leaving and lies")
            mesh.upstreams_by_id[second].override_reports({})
            mesh.note(f"{third} answers late and finishes cancelled work")
            change_behaviour(
                mesh,
                third,
                late_ratio=0.5,
                late_seconds=2.0,
                finish_cancelled_ratio=1.0,
            )
            await trio.sleep(3)
            mesh.phase("late answers")
            change_behaviour(mesh, third, late_ratio=0.0, crossed_ratio=0.5)
            mesh.note(f"{third} gives every second answer to another request")
            await trio.sleep(3)
        mesh.phase("crossed answers")

    golden(script, seed=702, **GAUTENG)


POINTS_IN_REQUEST = (
    "before the first byte",
    "in the middle",
    "after the whole request",
)
POINT_IN_RESPONSE = "in the middle of the answer"


def reset_connection_once(mesh, port, point, marker):
    """Reset the connection of a marked request at a point, once."""

    def fault(stream, data):
        if stream.port != port or marker not in data:
            return None
        if stream.is_client != (point in POINTS_IN_REQUEST):
            return None
        mesh.fabric.fault = None
        byte_limits = (0, len(data) // 2, len(data))
        # Without the last 2 bytes, the response still has a complete head.
        return (
            byte_limits[POINTS_IN_REQUEST.index(point)]
            if point in POINTS_IN_REQUEST
            else len(data) - 2
        )

    mesh.fabric.fault = fault


@pytest.mark.parametrize("keyed", [False, True])
def test_connections_end_during_a_request(golden, keyed):
    """P6, P7 and P8 hold for a reset at each point, on both hops."""

    async def script(mesh):
        await mesh.start_fleet()
        for port, hop in ((7401, "node"), (8080, "upstream")):
            for point in (*POINTS_IN_REQUEST, POINT_IN_RESPONSE):
                marker = f"break-{port}-{len(mesh.lines)}".encode()
                key = marker.decode() if keyed else None
                reset_connection_once(mesh, port, point, marker)
                text = f"connection to the {hop} ends {point}"
                await mesh.send_request(
                    "courier-collection",
                    "g1-lab-orders-1",
                    label=text,
                    body=marker,
                    key=key,
                )
                assert mesh.fabric.fault is None, "the fault was not met"
                if keyed:
                    await trio.sleep(0.5)
                    await mesh.send_request(
                        "courier-collection",
                        "g2-lab-orders-1",
                        label="the caller sends it again",
                        body=marker,
                        key=key,
                        attempt=2,
                    )
                await trio.sleep(3)

    golden(script, seed=801 + keyed, **GAUTENG)


@pytest.mark.parametrize("keyed", [False, True])
def test_a_request_crashes_each_upstream(golden, keyed):
    """One crashing request must not take down all upstreams of a service."""

    async def script(mesh):
        await mesh.start_fleet()
        mark = upstream_standin.CRASH_MARK
        async with mesh.load(rate=15, routes=ROUTES, keys=keyed):
            await trio.sleep(2)
            mesh.phase("normal service")
            for attempt in range(1, 9):
                await mesh.send_request(
                    "courier-collection",
                    mesh.find_host_ids()[attempt - 1],
                    label=f"sending {attempt} of the crashing request",
                    key="crash" if keyed else None,
                    attempt=attempt,
                    body=b"%s 17" % mark,
                )
                await trio.sleep(0.7)
        mesh.phase("the crashing request")
        crashes = sum(up.crashes for up in mesh.upstreams_by_id.values())
        mesh.note(f"{crashes} upstreams crashed")
        assert 1 <= crashes <= 2, f"{crashes} crashes"
        others = [
            request
            for request in mesh.history.requests_by_id.values()
            if mark not in request.body
        ]
        run_count = sum(request.outcome == "run" for request in others)
        mesh.note(f"{run_count} of {len(others)} other requests ran")
        assert run_count > 0.9 * len(others)

    golden(script, seed=901 + keyed, **GAUTENG)
