"""Joins the entry instance to the platform; the program of the deploy file."""

import asyncio
import os
import sys
from collections import Counter

from ..entry.instance import EntryInstance, Reader
from ..entry.logs import JsonLines
from ..entry.shared import Dialect
from . import objects, wire
from .boot import BootError, load_boot
from .store import StoreClient


def build_instance(settings) -> EntryInstance:
    """An entry instance that speaks to the platform."""
    dialect = Dialect(
        read_request=wire.read_request,
        read_answer=wire.read_answer,
        forward_headers=wire.forward_headers,
        retry_after=wire.retry_after,
        own_headers=wire.OWN_HEADERS,
    )
    reader = Reader(
        read_server=lambda name, value: objects.read_server(name, value, settings.region_by_domain),
        read_config=objects.read_config,
        read_look=wire.read_look,
        look_answer=wire.look_answer,
        error=objects.UnreadableError,
        config_kind=objects.CONFIG_KIND,
        config_name=objects.CONFIG_NAME,
        server_kind=objects.SERVER_KIND,
        evacuation_kind=objects.EVACUATION_KIND,
        ready_path=wire.READY_PATH,
    )
    return EntryInstance(settings, StoreClient(settings.store, Counter()), dialect, reader)


def main() -> int:
    """Serve until SIGTERM."""
    try:
        settings = load_boot(os.environ)
    except BootError as error:
        print(error, file=sys.stderr)
        return 2
    with JsonLines(sys.stdout.fileno()).applicationbound():
        asyncio.run(_run(settings))
    return 0


async def _run(settings) -> None:
    await build_instance(settings).run()


if __name__ == "__main__":
    sys.exit(main())
