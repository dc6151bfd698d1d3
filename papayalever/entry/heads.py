"""Heads of messages between callers and this instance: what is checked and how they are encoded."""

from http import HTTPStatus

from .header_block import Headers
from .messages import Response


class BadRequestError(Exception):
    """A request is rejected, and its connection cannot be used further."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def check_framing(headers: Headers) -> int:
    """Content-Length of a request, 0 if it has none; rejects ambiguous framing."""
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) != 1:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "Exactly one Host header is needed.")
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "The body's length is ambiguous.")
    if codings and codings[0].strip().lower() != b"chunked":
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "The transfer coding is not supported.")
    if not lengths:
        return 0
    if not lengths[0].isdigit():
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "The Content-Length is not a number.")
    return int(lengths[0])


def encode_head(response: Response, is_last: bool) -> bytes:
    """Encode the head of a response, always with a Content-Length."""
    try:
        phrase = HTTPStatus(response.status).phrase.encode()
    except ValueError:
        phrase = b"Unknown"
    lines = [b"HTTP/1.1 %d %s" % (response.status, phrase)]
    lines += [name + b": " + value for name, value in response.headers]
    lines.append(b"Content-Length: %d" % len(response.body))
    if is_last:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
