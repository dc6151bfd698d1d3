"""Requests as servers get them and the headers of answers as callers get them."""

from .messages import CallerRequest

HOP_HEADERS = frozenset(
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
"""Headers that concern one connection only; lengths are stated anew."""

Headers = list[tuple[bytes, bytes]]


def encode_request(request: CallerRequest, replaced: frozenset[bytes], own: Headers) -> bytes:
    """Bytes of a request for a server; ``own`` headers stand in for the ``replaced`` ones."""
    headers = [item for item in end_to_end(request.headers) if item[0] not in replaced] + own
    if request.body or request.method not in (b"GET", b"HEAD"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def end_to_end(headers: Headers) -> Headers:
    """Headers without those that concern one connection only."""
    dropped = HOP_HEADERS | _named_by_connection(headers)
    return [item for item in headers if item[0] not in dropped]


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    )
