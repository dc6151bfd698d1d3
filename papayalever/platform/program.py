"""Joins the entry instance to the platform; the program of the deploy file."""

import asyncio
import os
import signal
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path

import logbook

from ..entry.instance import EntryInstance
from ..entry.logs import JsonLines
from ..entry.settings import EntrySettings
from ..entry.shared import Dialect
from ..entry.state_updates import StoreAdapter
from . import objects, wire
from .boot import BootError, boot_path, load_boot
from .store import StoreClient

CHECK_S = 1.0
"""How often the settings file is looked at: it may change without a signal."""

log = logbook.Logger("program")


def build_instance(settings: EntrySettings) -> EntryInstance:
    """An entry instance that speaks to the platform."""
    dialect = Dialect(
        read_request=wire.read_request,
        read_answer=wire.read_answer,
        forward_headers=wire.forward_headers,
        retry_after=wire.retry_after,
        own_headers=wire.OWN_HEADERS,
    )
    store_adapter = StoreAdapter(
        read_server=lambda name, value: objects.read_server(name, value, settings.region_by_domain),
        read_config=objects.read_config,
        read_directory_query=wire.read_look,
        directory_response=wire.look_answer,
        error=objects.UnreadableError,
        config_kind=objects.CONFIG_KIND,
        config_name=objects.CONFIG_NAME,
        server_kind=objects.SERVER_KIND,
        evacuation_kind=objects.EVACUATION_KIND,
        ready_path=wire.READY_PATH,
    )
    return EntryInstance(settings, StoreClient(settings.store, Counter()), dialect, store_adapter)


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


async def _run(settings: EntrySettings) -> None:
    instance = build_instance(settings)
    changed = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, changed.set)
    watching = asyncio.create_task(_watch_settings(instance, changed))
    try:
        await instance.run()
    finally:
        watching.cancel()


async def _watch_settings(instance: EntryInstance, changed: asyncio.Event) -> None:
    """Reload on SIGHUP, and when the file changes without a signal."""
    path = boot_path(os.environ)
    known = _stamp(path)
    while True:
        with suppress(TimeoutError):
            async with asyncio.timeout(CHECK_S):
                await changed.wait()
        if not changed.is_set() and _stamp(path) == known:
            continue
        changed.clear()
        known = _stamp(path)
        try:
            instance.reload(load_boot(os.environ))
        except BootError as error:
            log.warning("settings refused", error=str(error))


def _stamp(path: Path) -> tuple[int, int] | None:
    """What changes when a file is written."""
    try:
        found = path.stat()
    except OSError:
        return None
    return (found.st_mtime_ns, found.st_size)


if __name__ == "__main__":
    sys.exit(main())
