"""HTTP header names, and the filtering of headers between callers and backend servers."""

from collections.abc import Mapping

from multidict import CIMultiDict

HOP_BY_HOP = frozenset(
    {
        "connection",
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
INTERNAL_PREFIX = "x-papayalever-"
IDEMPOTENCY_KEY = "Idempotency-Key"
IDEMPOTENCY_ATTEMPT = "Idempotency-Attempt"
REQUEST_TIMEOUT = "Request-Timeout"
REQUEST_ID = "X-Request-Id"
REQUEST_RANK = "X-Papayalever-Rank"
FORWARDED_FOR = "X-Forwarded-For"
OUTCOME = "X-Outcome"
LOAD = "X-Load"
DRAINING = "X-Draining"
DROPPED_FROM_REQUESTS = frozenset(
    {
        "host",
        "content-length",
        "expect",
        IDEMPOTENCY_ATTEMPT.lower(),
        REQUEST_TIMEOUT.lower(),
        REQUEST_ID.lower(),
        FORWARDED_FOR.lower(),
    }
)
"""Request headers that the proxy sets itself or handles."""
DROPPED_FROM_RESPONSES = frozenset(
    {OUTCOME.lower(), LOAD.lower(), DRAINING.lower(), REQUEST_ID.lower()}
)
"""Response headers that are meant for the proxy."""


def filter_request_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of a request that are forwarded to the backend server."""
    return _filter(headers, DROPPED_FROM_REQUESTS)


def filter_response_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of a response that are forwarded to the caller."""
    return _filter(headers, DROPPED_FROM_RESPONSES)


def parse_load(text: str | None) -> float | None:
    """Return the share of the slots in use from ``used/slots``, or None if ``text`` is invalid."""
    used, _, slots = (text or "").partition("/")
    if not (used.isdecimal() and slots.isdecimal()) or int(slots) == 0:
        return None
    return int(used) / int(slots)


def _filter(headers: Mapping[str, str], dropped: frozenset[str]) -> CIMultiDict[str]:
    connection_headers = {
        token.strip().lower()
        for name, value in headers.items()
        if name.lower() == "connection"
        for token in value.split(",")
    }
    excluded = HOP_BY_HOP | dropped | connection_headers
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in excluded and not name.lower().startswith(INTERNAL_PREFIX)
    )
