"""Tells where a request would go now, without sending it.

The preview reads the state that decides on requests and changes none of it. A
key is used for its look-up only and is in no part of the preview.
"""

import math

from ..core import errors
from ..traffic import customers
from ..traffic import routing

# Path of the preview at the metrics endpoint, and the header with the key.
PATH = "/where"
KEY_HEADER = "shallotbridge-key"


def make_preview(
    *, view, own_host, selector, quotas, host, target, key, is_leaving, now
):
    """Return what a request would meet at this node, as a document.

    Parameters
    ----------
    view : model.MeshView
        The view for clients; it is empty until it is current.
    own_host : model.OwnHost
    selector : selection.Selector
    quotas : quotas.CustomerQuotas
    host, target : str
        Host header and path of the request.
    key : str or None
        API key of a customer.
    is_leaving : bool
        Whether the node is shutting down.
    now : float

    Returns
    -------
    dict
        ``refused_by`` is None, or the code and detail of the error that the
        request would get. Waits and costs are in milliseconds.
    """
    preview = {
        "node": own_host.name,
        "caller_service": own_host.service,
        "version": None,
        "route": None,
        "customer": None,
        "quota": None,
        "destinations": [],
        "refused_by": None,
    }
    try:
        _fill(preview, view, selector, quotas, host, target, key, now)
        if is_leaving:
            raise errors.LeavingError(
                "the node is shutting down; it sends on only requests that "
                "end in time"
            )
    except errors.CallError as error:
        preview["refused_by"] = {"code": error.code, "detail": error.detail}
    return preview


def _fill(preview, view, selector, quotas, host, target, key, now):
    configuration = view.configuration
    if configuration is None:
        raise errors.NoConfigurationError(
            "the node has no current configuration yet"
        )
    preview["version"] = configuration.version
    route = routing.find_route(configuration, host, target)
    preview["route"] = {
        "name": route.name,
        "path_prefix": route.path_prefix,
        "is_idempotent": route.is_idempotent,
        "is_public": route.is_public,
        "timeout_ms": _milliseconds(route.timeout_seconds),
        "objective_ms": _milliseconds(route.objective_seconds),
        "maximum_attempts": route.maximum_attempts,
    }
    customer = customers.authenticate(configuration, route, key)
    priority, route_priority = customers.priorities(customer, route)
    preview["route"]["priorities"] = [priority, route_priority]
    if customer is not None:
        preview["customer"] = customer.name
        if customer.rate > 0 and not route.is_public:
            preview["quota"] = {
                "rate": customer.rate,
                "burst": customer.burst,
                **quotas.describe(customer),
            }
    is_served = False
    for destination in route.destinations:
        ranked = selector.rank(
            view.usable_upstreams(destination.service), route, now
        )
        is_served |= any(math.isfinite(each.cost) for each in ranked)
        preview["destinations"].append(
            {
                "service": destination.service,
                "weight": destination.weight,
                "upstreams": [_describe(each) for each in ranked],
            }
        )
    if not is_served:
        raise errors.NoUpstreamError(
            f"no upstream is eligible for route {route.name!r}"
        )


def _describe(ranked):
    upstream = ranked.upstream
    is_eligible = math.isfinite(ranked.cost)
    return {
        "upstream": upstream.upstream_id,
        "failure_domain": upstream.failure_domain,
        "is_in_subset": ranked.is_in_subset,
        "is_eligible": is_eligible,
        "cost_ms": _milliseconds(ranked.cost) if is_eligible else None,
        "wait_ms": _milliseconds(ranked.wait) if is_eligible else None,
    }


def _milliseconds(seconds):
    return round(seconds * 1000, 1)
