"""Encoding of HTTP/1.1 messages and filtering of hop-by-hop headers."""

import functools
import re

from . import errors

# Value of a content-length header; 18 digits fit into 64 bits.
LENGTH = re.compile(r"[0-9]{1,18}", re.ASCII)
# Whether a header name is valid is kept for names up to this length.
_MAXIMUM_CACHED_NAME_BYTES = 64
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9a-z-]+", re.ASCII)
_METHOD = re.compile(r"[A-Z-]{1,32}", re.ASCII)
_ENCODED_TARGET = re.compile(r"/[\x21-\x7e]*|\*")
_INVALID_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_INVALID_TEXT = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_HOP_BY_HOP_NAMES = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_REASON_PHRASES_BY_STATUS = {
    200: "OK",
    201: "Created",
    204: "No Content",
    304: "Not Modified",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def connection_tokens(headers):
    tokens = set()
    for header in headers:
        if header.name == "connection":
            for token in header.value.split(","):
                tokens.add(token.strip(" \t").lower())
    return tokens


def end_to_end_headers(headers):
    """Return the headers that may be forwarded to the next hop.

    Hop-by-hop headers and those listed in Connection are removed.

    Examples
    --------
    >>> from shallotbridge.core import model
    >>> headers = [
    ...     model.Header(name="connection", value="x-a"),
    ...     model.Header(name="x-a", value="1"),
    ...     model.Header(name="x-b", value="2"),
    ... ]
    >>> [header.name for header in end_to_end_headers(headers)]
    ['x-b']
    """
    removed = connection_tokens(headers) | _HOP_BY_HOP_NAMES
    return [header for header in headers if header.name not in removed]


def _is_header_name(name):
    # Clients choose the names; 1,024 long ones would take 16 MB.
    if len(name) > _MAXIMUM_CACHED_NAME_BYTES:
        return _HEADER_NAME.fullmatch(name) is not None
    return _is_short_header_name(name)


@functools.lru_cache(maxsize=1024)
def _is_short_header_name(name):
    return _HEADER_NAME.fullmatch(name) is not None


def _append_headers(lines, headers):
    """Append a line for each header that is not hop-by-hop."""
    for header in headers:
        name = header.name
        if name not in _HOP_BY_HOP_NAMES:
            if not _is_header_name(name):
                raise errors.BadHeaderError(
                    f"header name {name!r}; allowed: a lower-case token"
                )
            lines.append(f"{name}: {header.value}\r\n")


def _encode(lines):
    """Return the bytes of a head.

    Guards against header injection by checking all lines in one pass. Each
    line ends in one CRLF, so a line break in a value makes the number of
    line breaks differ from the number of lines.

    Raises
    ------
    errors.BadHeaderError
        A value contains control characters or characters outside of
        ISO 8859-1.
    """
    text = "".join(lines)
    count = len(lines)
    if (
        text.count("\n") != count
        or text.count("\r") != count
        or _INVALID_TEXT.search(text)
    ):
        invalid = [line for line in lines if _INVALID_VALUE.search(line[:-2])]
        raise errors.BadHeaderError(
            f"header line {invalid[0]!r}; allowed: no control characters"
        )
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as error:
        raise errors.BadHeaderError(
            f"header contains {error.object[error.start]!r}; allowed: "
            "characters of ISO 8859-1"
        ) from error


def encode_request(request):
    """Return the bytes of a request on a persistent connection.

    See ``encode_request_head`` for the errors.

    Examples
    --------
    >>> from shallotbridge.core import model
    >>> request = model.Request(
    ...     method="PUT", target="/rolls", headers=(), body=b"x"
    ... )
    >>> encode_request(request)
    b'PUT /rolls HTTP/1.1\\r\\ncontent-length: 1\\r\\n\\r\\nx'
    """
    return encode_request_head(request) + request.body


def encode_request_head(request):
    """Return the bytes of a request up to its body.

    Raises
    ------
    errors.BadHeaderError
        A header, the method or the target cannot be encoded safely.

    Examples
    --------
    >>> from shallotbridge.core import model
    >>> request = model.Request(
    ...     method="GET",
    ...     target="/rolls",
    ...     headers=(model.Header(name="host", value="a"),),
    ... )
    >>> encode_request_head(request)
    b'GET /rolls HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n'
    """
    if not _METHOD.fullmatch(request.method) or not _ENCODED_TARGET.fullmatch(
        request.target
    ):
        raise errors.BadHeaderError(
            f"request line {request.method!r} {request.target!r}; allowed: a "
            "method and a path without spaces"
        )
    lines = [f"{request.method} {request.target} HTTP/1.1\r\n"]
    _append_headers(lines, request.headers)
    if request.body or request.method not in ("GET", "HEAD"):
        lines.append(f"content-length: {len(request.body)}\r\n")
    lines.append("\r\n")
    return _encode(lines)


def encode_response(response, *, method="GET", is_persistent=True):
    """Return the bytes of a response to a request with the given method.

    Examples
    --------
    >>> from shallotbridge.core import model
    >>> encode_response(model.Response(status=200, headers=(), body=b"x"))
    b'HTTP/1.1 200 OK\\r\\ncontent-length: 1\\r\\n\\r\\nx'
    """
    head, body = encode_response_parts(
        response, method=method, is_persistent=is_persistent
    )
    return head + body


def encode_response_parts(response, *, method="GET", is_persistent=True):
    """Return the bytes of the head of a response, and its body.

    Examples
    --------
    >>> from shallotbridge.core import model
    >>> encode_response_parts(
    ...     model.Response(status=200, headers=(), body=b"x")
    ... )
    (b'HTTP/1.1 200 OK\\r\\ncontent-length: 1\\r\\n\\r\\n', b'x')
    """
    status = response.status
    reason_phrase = _REASON_PHRASES_BY_STATUS.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason_phrase}\r\n"]
    _append_headers(lines, response.headers)
    body = response.body
    if method == "HEAD":
        length = response.header("content-length")
        if body:
            length = str(len(body))
            body = b""
        if length and LENGTH.fullmatch(length):
            lines.append(f"content-length: {length}\r\n")
    elif status in (204, 304):
        body = b""
    else:
        lines.append(f"content-length: {len(body)}\r\n")
    if not is_persistent:
        lines.append("connection: close\r\n")
    lines.append("\r\n")
    return _encode(lines), body
