"""Calls of the command line to an instance's operator listener."""

import asyncio
from typing import Any

import aiohttp

from ..status import ExitStatus
from .exceptions import CommandError

CALL_TIMEOUT_S = 30.0
STATUS_BY_ERROR = {
    "InvalidConfigError": ExitStatus.INVALID,
    "LostRaceError": ExitStatus.CONFLICT,
    "NotAcceptedError": ExitStatus.NOT_ACCEPTED,
    "OutcomeUnknownError": ExitStatus.UNKNOWN_OUTCOME,
}


def get(instance: str, path: str) -> Any:
    """Read a document; raises `CommandError`."""
    return asyncio.run(_call("GET", instance, path, None, {}))


def post(instance: str, path: str, text: str, query: dict[str, str]) -> Any:
    """Send a text; raises `CommandError` with the status of the refusal."""
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
            f"No instance answers at {instance}; give another one with --instance.",
            ExitStatus.ERROR,
        ) from error
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise CommandError(
            f"{instance} did not answer as expected; "
            "look at papayalever show before you try again.",
            ExitStatus.UNKNOWN_OUTCOME if method == "POST" else ExitStatus.ERROR,
        ) from error
    if status != 200:
        raise CommandError(document["detail"], STATUS_BY_ERROR[document["error"]])
    return document
