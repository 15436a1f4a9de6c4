"""Builders of small configurations and hosts for tests."""

import dataclasses

from shallotbridge._generated import configuration_pb2
from shallotbridge._generated import peer_pb2
from shallotbridge.core import model
from shallotbridge.core import parts


def make_route(**changes):
    """Return an idempotent showroom route with the given changes."""
    route = model.Route(
        name="browse",
        service="showroom",
        method="GET",
        path="/showroom/stock",
        is_idempotent=True,
        deadline_seconds=0.8,
        retry_ratio=0.1,
    )
    return dataclasses.replace(route, **changes)


def make_reserve_route(**changes):
    """Return a showroom route that is not idempotent."""
    return make_route(
        **{
            "name": "reserve",
            "method": "POST",
            "path": "/showroom/reservations",
            "is_idempotent": False,
        }
        | changes
    )


def make_limits(**changes):
    """Return the limits of a showroom upstream with the given changes."""
    limits = model.UpstreamLimits(
        failure_domains=("cairo-1", "cairo-2"),
        slots=6,
        connections=100,
        cold_slots=1,
        ramp_seconds=20.0,
        queue=6,
    )
    return dataclasses.replace(limits, **changes)


def make_service(*, name="showroom", routes=None, **limits):
    """Return a service; routes default to browse and reserve."""
    if routes is None:
        routes = [make_route(), make_reserve_route()]
    return model.Service(
        name=name,
        upstream=make_limits(**limits),
        routes_by_name=model.by_key(routes, "name"),
    )


def make_configuration(
    *, version=1, base_digest=b"", services=None, out_of_service=()
):
    """Return a configuration whose head has the digest of its content."""
    if services is None:
        services = [make_service()]
    configuration = model.Configuration(
        head=model.NO_HEAD,
        mesh_name="nileweave",
        failure_domains_by_name=model.by_key(
            [
                model.FailureDomain(
                    name=name,
                    region="cairo",
                    in_service=name not in out_of_service,
                )
                for name in ("cairo-1", "cairo-2", "cairo-3", "cairo-4")
            ],
            "name",
        ),
        services_by_name=model.by_key(services, "name"),
    )
    digests_by_name = {
        name: parts.part_digest(content)
        for name, content in parts.encode_parts(configuration).items()
    }
    digest = parts.root_digest(
        version=version,
        base_digest=base_digest,
        digests_by_name=digests_by_name,
    )
    return dataclasses.replace(
        configuration, head=model.HeadReference(version=version, digest=digest)
    )


def make_full_update(configuration, *, base_version=None, base_digest=b""):
    """Return the configuration as a full, uncompressed update."""
    if base_version is None:
        base_version = configuration.head.version - 1
    update = peer_pb2.ConfigurationUpdate(
        head=peer_pb2.HeadReference(
            version=configuration.head.version,
            digest=configuration.head.digest,
        ),
        base_version=base_version,
        base_digest=base_digest,
    )
    for name, content in parts.encode_parts(configuration).items():
        update.changed.append(
            configuration_pb2.Part(name=name, content=content)
        )
    return update


def make_host(host_id="c1-showroom-1", **changes):
    """Return a live showroom host in cairo-1 with the given changes."""
    host = model.Host(
        host_id=host_id,
        address="127.0.1.1",
        service="showroom",
        failure_domain="cairo-1",
    )
    return dataclasses.replace(host, **changes)
