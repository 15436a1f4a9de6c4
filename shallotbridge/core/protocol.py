"""Headers of the protocol between callers and nodes, and between nodes."""

import json
import re

from . import errors
from . import model

PREFIX = "x-shallotbridge-"
REQUEST_ID = PREFIX + "request-id"
DEADLINE = PREFIX + "deadline-ms"
ATTEMPT = PREFIX + "attempt"
RETRIES_LEFT = PREFIX + "retries-left"
OUTCOME = PREFIX + "outcome"
CODE = PREFIX + "code"
RETRY = PREFIX + "retry"
VERSION = PREFIX + "version"
SERVICE = PREFIX + "service"
ROUTE = PREFIX + "route"
FREE_SLOTS = PREFIX + "free"
# Time from sending a request to the upstream until the complete response, in
# microseconds; used between nodes only.
UPSTREAM_TIME = PREFIX + "upstream-us"
IDEMPOTENCY_KEY = "idempotency-key"
# Sent by upstreams.
REFUSED = "x-refused"
REFUSAL_STATUS = 503
REFUSAL_REASONS = frozenset(errors.RefusalReason)

MAXIMUM_DEADLINE_MS = 3_600_000
MAXIMUM_ATTEMPT = 1000
MAXIMUM_RETRIES_LEFT = 10
# Retries of a call without a retries-left header. Each node on a chain of
# calls passes on the remaining number, so a higher default multiplies the
# load along the chain.
DEFAULT_RETRIES_LEFT = 1
_MILLISECONDS = 1000

_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}", re.ASCII)
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")
_NUMBER = re.compile(r"[0-9]{1,9}", re.ASCII)


def _single_value(request, name):
    values = [
        header.value for header in request.headers if header.name == name
    ]
    if len(values) > 1:
        raise errors.BadHeaderError(
            f"{name}: found {len(values)} headers; allowed: one"
        )
    return values[0] if values else None


def raise_for_refusal(response, host):
    """Raise if an upstream's response states that the request did not run.

    A response with an unknown refusal reason counts as an ordinary response,
    because it does not guarantee that.

    Parameters
    ----------
    response : model.Response
    host : model.Host
        Host of the upstream.

    Raises
    ------
    errors.UpstreamRefusedError
    """
    reason = response.header(REFUSED)
    if response.status == REFUSAL_STATUS and reason in REFUSAL_REASONS:
        raise errors.UpstreamRefusedError(
            f"the upstream of {host.host_id} refused: {reason}", reason=reason
        )


def read_number(request, name, *, minimum, maximum, default):
    """Return a header's number, or the default if it is absent.

    Raises
    ------
    errors.BadHeaderError
        The value is not a decimal number within the bounds, or the header is
        repeated.
    """
    value = _single_value(request, name)
    if value is None:
        return default
    if _NUMBER.fullmatch(value) and minimum <= int(value) <= maximum:
        return int(value)
    raise errors.BadHeaderError(
        f"{name}: found {value!r}; allowed: {minimum} to {maximum}"
    )


def read_request_id(request):
    """Return the request id of a request, or None."""
    value = _single_value(request, REQUEST_ID)
    if value is None or _REQUEST_ID.fullmatch(value):
        return value
    raise errors.BadHeaderError(
        f"{REQUEST_ID}: found {value!r}; allowed: 1 to 128 letters, digits "
        "and . _ : -"
    )


def read_idempotency_key(request):
    """Return the idempotency key of a request, or None."""
    value = _single_value(request, IDEMPOTENCY_KEY)
    if value is None or _IDEMPOTENCY_KEY.fullmatch(value):
        return value
    raise errors.BadHeaderError(
        f"{IDEMPOTENCY_KEY}: found {value!r}; allowed: 1 to 255 printable "
        "ASCII characters without spaces"
    )


def read_attempt(request):
    """Return which attempt a request is, as its sender states; 1 or more."""
    return read_number(
        request, ATTEMPT, minimum=1, maximum=MAXIMUM_ATTEMPT, default=1
    )


def read_retries_left(request):
    """Return the number of retries that are still allowed."""
    return read_number(
        request,
        RETRIES_LEFT,
        minimum=0,
        maximum=MAXIMUM_RETRIES_LEFT,
        default=DEFAULT_RETRIES_LEFT,
    )


def read_free_slots(response):
    """Return the free slots that an owner node reports, or None."""
    value = response.header(FREE_SLOTS)
    if value is not None and _NUMBER.fullmatch(value):
        return int(value)
    return None


def remaining_ms(deadline, now):
    """Return the full milliseconds until a deadline, at least 0.

    Examples
    --------
    >>> remaining_ms(2.0, 1.5), remaining_ms(1.0, 1.5)
    (500, 0)
    """
    return max(0, int((deadline - now) * _MILLISECONDS))


def strip_protocol_headers(headers):
    """Return the headers without those of this protocol."""
    return [header for header in headers if not header.name.startswith(PREFIX)]


def failure_response(error, *, headers):
    """Return the response for a failure, with a JSON body.

    Parameters
    ----------
    error : errors.CallError
    headers : list of model.Header
        Headers of this protocol, which the body repeats as fields.
    """
    fields = {
        header.name.removeprefix(PREFIX).replace("-", "_"): header.value
        for header in headers
    }
    fields["detail"] = error.detail
    return model.Response(
        status=error.status,
        headers=(
            *headers,
            model.Header(name="content-type", value="application/json"),
        ),
        body=json.dumps(fields, sort_keys=True).encode() + b"\n",
    )
