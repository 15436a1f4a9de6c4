"""Canonical encoding of a configuration: parts, digests and bundles."""

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
# Durations are encoded in whole milliseconds, ratios in whole per mille.
_ENCODING_SCALE = 1000


def part_digest(content):
    """Return the SHA-256 digest of the bytes of a part or stored value."""
    return hashlib.sha256(content).digest()


def root_digest(*, version, base_digest, digests_by_name):
    """Return the digest that identifies the content of a version.

    Parameters
    ----------
    version : int
    base_digest : bytes
        Root digest of the version that this one is based on.
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
    """Encode a configuration as canonical bytes per part.

    Parameters
    ----------
    configuration : model.Configuration

    Returns
    -------
    dict[str, bytes]
        Contents by part name: one part per service and one for the mesh.
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
            ramp_ms=round(limits.ramp_seconds * _ENCODING_SCALE),
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
            deadline_ms=round(route.deadline_seconds * _ENCODING_SCALE),
            retry_per_mille=round(route.retry_ratio * _ENCODING_SCALE),
            depends_on=sorted(route.depends_on),
        )
    return part.SerializeToString(deterministic=True)


def decode_configuration(head, contents_by_name):
    """Decode a configuration from the complete set of its parts.

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
        A part cannot be decoded or describes another service, or the mesh
        part is missing.
    """
    if MESH_PART not in contents_by_name:
        raise errors.MalformedPartError(
            f"version {head.version} has no part '{MESH_PART}'; publish it "
            "again"
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
    """Decode a service part.

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
            ramp_seconds=limits.ramp_ms / _ENCODING_SCALE,
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
        deadline_seconds=route.deadline_ms / _ENCODING_SCALE,
        retry_ratio=route.retry_per_mille / _ENCODING_SCALE,
        depends_on=tuple(route.depends_on),
    )


def decode_message(message_type, content, description):
    """Decode a protobuf message.

    Parameters
    ----------
    message_type : type
    content : bytes
    description : str
        What is decoded, for the error message.

    Raises
    ------
    errors.MalformedPartError
        The bytes are not a message of this type.
    """
    try:
        return message_type.FromString(content)
    except (protobuf_message.DecodeError, UnicodeDecodeError) as error:
        raise errors.MalformedPartError(
            f"{description}: {len(content)} bytes are not a "
            f"{message_type.DESCRIPTOR.name}: {error}"
        ) from error


def bundle_count(part_count):
    """Return the number of bundles, a power of two, for a number of parts.

    Examples
    --------
    >>> [bundle_count(parts) for parts in (1, 16, 17, 881)]
    [1, 1, 2, 64]
    """
    minimum = -(-part_count // SERVICES_PER_BUNDLE)
    return 1 << max(0, minimum - 1).bit_length()


def make_bundles(contents_by_name):
    """Distribute parts over bundles by a hash of their names.

    A change of one service changes one bundle, so readers read only one
    value for it.

    Parameters
    ----------
    contents_by_name : mapping of str to bytes

    Returns
    -------
    tuple of bytes
        Serialized bundles; empty ones are left out.
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
    """Return the platform key of the bundle with a digest."""
    return BUNDLE_KEY_PREFIX + digest.hex()
