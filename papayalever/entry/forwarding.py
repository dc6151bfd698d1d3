"""Encodes the heads of requests for backend servers and filters hop-by-hop headers."""

from .header_block import Headers
from .messages import CallerRequest

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Headers that are not forwarded; Content-Length is computed again."""


def encode_request_head(
    request: CallerRequest, replaced: frozenset[bytes], added: Headers
) -> bytes:
    """Encode a request's head for a backend server, without ``replaced`` and with ``added``."""
    headers = [
        item for item in end_to_end_headers(request.headers) if item[0] not in replaced
    ] + added
    if request.body or request.method not in (b"GET", b"HEAD"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def end_to_end_headers(headers: Headers) -> Headers:
    """Headers without the hop-by-hop ones, including those that Connection names."""
    dropped = HOP_BY_HOP_HEADERS | _connection_tokens(headers)
    return [item for item in headers if item[0] not in dropped]


def _connection_tokens(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    )
