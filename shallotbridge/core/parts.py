"""Canonical bytes of a configuration: parts, digests and bundles."""

import hashlib

from google.protobuf import message as protobuf_message

from .._generated import configuration_pb2
from . import errors
from . import model

MESH_PART = "mesh"
SERVICES_PER_BUNDLE = 16
MAXIMUM_VALUE_BYTES = 1_000_000
HEAD_KEY = "configuration/head"
BUNDLE_KEY_PREFIX = "configuration/bundle/"
_MILLISECONDS = 1000


def part_digest(content):
    """Return the SHA-256 digest of a part's or a value's bytes."""
    return hashlib.sha256(content).digest()


def root_digest(*, version, base_digest, digests_by_name):
    """Return the digest that identifies the content of a version.

    Parameters
    ----------
    version : int
    base_digest : bytes
        Root digest of the version on which this one was built.
    digests_by_name : mapping of str to bytes
        Digest of each part.

    Returns
    -------
    bytes
        32 bytes.
    """
    digest = hashlib.sha256()
    digest.update(version.to_bytes(8, "big"))
    digest.update(len(base_digest).to_bytes(2, "big") + base_digest)
    for name in sorted(digests_by_name):
        encoded_name = name.encode()
        digest.update(len(encoded_name).to_bytes(2, "big") + encoded_name)
        digest.update(digests_by_name[name])
    return digest.digest()


def encode_parts(configuration):
    """Return the canonical bytes of each part by its name.

    Parameters
    ----------
    configuration : model.Configuration

    Returns
    -------
    dict[str, bytes]
        One entry for each service and one for the mesh.
    """
    contents_by_name = {MESH_PART: _encode_mesh(configuration)}
    for service in configuration.services_by_name.values():
        contents_by_name[service.name] = _encode_service(service)
    return contents_by_name


def _encode_mesh(configuration):
    part = configuration_pb2.MeshPart(name=configuration.mesh_name)
    domains_by_name = configuration.failure_domains_by_name
    for name in sorted(domains_by_name):
        domain = domains_by_name[name]
        part.failure_domains.add(
            name=name, region=domain.region, in_service=domain.in_service
        )
    return part.SerializeToString(deterministic=True)


def _encode_service(service):
    limits = service.upstream
    part = configuration_pb2.ServicePart(
        service=service.name,
        upstream=configuration_pb2.Upstream(
            failure_domains=sorted(limits.failure_domains),
            slots=limits.slots,
            connections=limits.connections,
            cold_slots=limits.cold_slots,
            ramp_ms=round(limits.ramp_seconds * _MILLISECONDS),
            queue=limits.queue,
        ),
    )
    for name in sorted(service.routes_by_name):
        route = service.routes_by_name[name]
        part.routes.add(
            name=name,
            method=route.method,
            path=route.path,
            idempotent=route.is_idempotent,
            deadline_ms=round(route.deadline_seconds * _MILLISECONDS),
            retry_per_mille=round(route.retry_ratio * _MILLISECONDS),
            depends_on=sorted(route.depends_on),
        )
    return part.SerializeToString(deterministic=True)


def decode_configuration(head, contents_by_name):
    """Return the configuration that a complete set of parts describes.

    Parameters
    ----------
    head : model.HeadReference
    contents_by_name : mapping of str to bytes

    Returns
    -------
    model.Configuration

    Raises
    ------
    errors.MalformedPartError
        A part cannot be decoded, is missing, or names another service.
    """
    if MESH_PART not in contents_by_name:
        raise errors.MalformedPartError(
            f"version {head.version} has no part '{MESH_PART}'; publish again"
        )
    mesh = decode_message(
        configuration_pb2.MeshPart, contents_by_name[MESH_PART], MESH_PART
    )
    services = [
        decode_service(name, content)
        for name, content in contents_by_name.items()
        if name != MESH_PART
    ]
    return model.Configuration(
        head=head,
        mesh_name=mesh.name,
        failure_domains_by_name=model.by_key(
            [
                model.FailureDomain(
                    name=domain.name,
                    region=domain.region,
                    in_service=domain.in_service,
                )
                for domain in mesh.failure_domains
            ],
            "name",
        ),
        services_by_name=model.by_key(services, "name"),
    )


def decode_service(name, content):
    """Return the service that a part describes.

    Raises
    ------
    errors.MalformedPartError
        The bytes are not a service part of that name.
    """
    part = decode_message(configuration_pb2.ServicePart, content, name)
    if part.service != name:
        raise errors.MalformedPartError(
            f"part '{name}' describes service '{part.service}'"
        )
    limits = part.upstream
    routes = [_decode_route(name, route) for route in part.routes]
    return model.Service(
        name=name,
        upstream=model.UpstreamLimits(
            failure_domains=tuple(limits.failure_domains),
            slots=limits.slots,
            connections=limits.connections,
            cold_slots=limits.cold_slots,
            ramp_seconds=limits.ramp_ms / _MILLISECONDS,
            queue=limits.queue,
        ),
        routes_by_name=model.by_key(routes, "name"),
    )


def _decode_route(service_name, route):
    return model.Route(
        name=route.name,
        service=service_name,
        method=route.method,
        path=route.path,
        is_idempotent=route.idempotent,
        deadline_seconds=route.deadline_ms / _MILLISECONDS,
        retry_ratio=route.retry_per_mille / _MILLISECONDS,
        depends_on=tuple(route.depends_on),
    )


def decode_message(message_type, content, description):
    """Decode a protobuf message.

    Raises
    ------
    errors.MalformedPartError
        The bytes are not such a message.
    """
    try:
        return message_type.FromString(content)
    except (protobuf_message.DecodeError, UnicodeDecodeError) as error:
        raise errors.MalformedPartError(
            f"{description}: {len(content)} bytes are not a "
            f"{message_type.DESCRIPTOR.name}: {error}"
        ) from error


def bundle_count(part_count):
    """Return the number of bundles for a number of parts, a power of two.

    Examples
    --------
    >>> [bundle_count(parts) for parts in (1, 16, 17, 881)]
    [1, 1, 2, 64]
    """
    wanted = -(-part_count // SERVICES_PER_BUNDLE)
    return 1 << max(0, wanted - 1).bit_length()


def make_bundles(contents_by_name):
    """Spread parts over bundles by a hash of their names.

    A changed part changes one bundle only, so a reader reads one value for
    a change of one service.

    Parameters
    ----------
    contents_by_name : mapping of str to bytes

    Returns
    -------
    tuple of bytes
        Serialized bundles without empty ones.
    """
    count = bundle_count(len(contents_by_name))
    bundles_by_index = {}
    for name in sorted(contents_by_name):
        name_hash = hashlib.sha256(name.encode()).digest()
        index = int.from_bytes(name_hash[:4], "big") % count
        bundle = bundles_by_index.setdefault(index, configuration_pb2.Bundle())
        bundle.parts.add(name=name, content=contents_by_name[name])
    return tuple(
        bundles_by_index[index].SerializeToString(deterministic=True)
        for index in sorted(bundles_by_index)
    )


def bundle_key(digest):
    """Return the platform's key of a bundle by its digest."""
    return BUNDLE_KEY_PREFIX + digest.hex()
