"""HTTP client of the commands for an instance's operator listener."""

import asyncio
from typing import Any

import aiohttp

from ..status import ExitStatus
from .exceptions import CommandError

CALL_TIMEOUT_S = 30.0
EXIT_STATUS_BY_ERROR = {
    "InvalidConfigError": ExitStatus.INVALID,
    "LostRaceError": ExitStatus.CONFLICT,
    "NotAcceptedError": ExitStatus.NOT_ACCEPTED,
    "OutcomeUnknownError": ExitStatus.UNKNOWN_OUTCOME,
}


def get(instance: str, path: str) -> Any:
    """Send a GET request and return the JSON document; raises `CommandError`."""
    return asyncio.run(_call("GET", instance, path, None, {}))


def post(instance: str, path: str, text: str, query: dict[str, str]) -> Any:
    """Send a text in a POST request and return the JSON document.

    Raises `CommandError` with the exit status for the instance's error.
    """
    return asyncio.run(_call("POST", instance, path, text, query))


async def _call(
    method: str, instance: str, path: str, text: str | None, query: dict[str, str]
) -> Any:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    url = f"http://{instance}{path}"
    data = text.encode() if text is not None else None
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(method, url, data=data, params=query) as response:
                document = await response.json()
                status = response.status
    except aiohttp.ClientConnectorError as error:
        raise CommandError(
            f"No instance listens at {instance}; specify another one with --instance.",
            ExitStatus.ERROR,
        ) from error
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise CommandError(
            f"{instance} returned no valid response; "
            "check with papayalever show before you try again.",
            ExitStatus.UNKNOWN_OUTCOME if method == "POST" else ExitStatus.ERROR,
        ) from error
    if status != 200:
        raise CommandError(document["detail"], EXIT_STATUS_BY_ERROR[document["error"]])
    return document
