"""Header fields between callers and backend servers."""

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
REPLACED = frozenset(
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
BACKEND_ONLY = frozenset({OUTCOME.lower(), LOAD.lower(), DRAINING.lower(), REQUEST_ID.lower()})


def forwarded_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Headers of a request that its backend server gets."""
    return _filter(headers, REPLACED)


def returned_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Headers of an answer that its caller gets."""
    return _filter(headers, BACKEND_ONLY)


def parse_load(text: str | None) -> float | None:
    """Share of the slots in use from ``used/slots``, None if it is not said."""
    used, _, slots = (text or "").partition("/")
    if not (used.isdecimal() and slots.isdecimal()) or int(slots) == 0:
        return None
    return int(used) / int(slots)


def _filter(headers: Mapping[str, str], dropped: frozenset[str]) -> CIMultiDict[str]:
    named = {
        token.strip().lower()
        for name, value in headers.items()
        if name.lower() == "connection"
        for token in value.split(",")
    }
    skipped = HOP_BY_HOP | dropped | named
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in skipped and not name.lower().startswith(INTERNAL_PREFIX)
    )
