"""Program of the deploy file: runs an entry instance with the adapter for the platform."""

import asyncio
import os
import signal
import sys
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path

import logbook

from ..entry.instance import EntryInstance
from ..entry.logs import JsonLogHandler
from ..entry.settings import EntrySettings
from ..entry.shared import HeaderAdapter
from ..entry.state_updates import StoreAdapter
from . import objects, wire
from .settings_file import SettingsFileError, load_settings, settings_path
from .store import StoreClient

FILE_CHECK_INTERVAL_S = 1.0
"""The settings file is also polled because it may change without a SIGHUP."""

log = logbook.Logger("program")


def build_instance(settings: EntrySettings) -> EntryInstance:
    """Build an entry instance that uses the platform's store, objects and headers."""
    adapter = HeaderAdapter(
        read_request=wire.read_request,
        read_response=wire.read_response,
        read_notice=wire.read_notice,
        forward_headers=wire.forward_headers,
        retry_after=wire.retry_after,
        reserved_headers=wire.RESERVED_HEADERS,
    )
    store_adapter = build_store_adapter(settings.region_by_domain)
    return EntryInstance(settings, StoreClient(settings.store, Counter()), adapter, store_adapter)


def build_store_adapter(region_by_domain: Mapping[str, str]) -> StoreAdapter:
    """Build the decoders of the platform's stored objects."""
    return StoreAdapter(
        read_server=lambda name, value: objects.read_server(name, value, region_by_domain),
        read_config=objects.read_config,
        read_directory_query=wire.read_directory_query,
        directory_response=wire.directory_response,
        error=objects.InvalidObjectError,
        config_kind=objects.CONFIG_KIND,
        config_name=objects.CONFIG_NAME,
        server_kind=objects.SERVER_KIND,
        evacuation_kind=objects.EVACUATION_KIND,
        ready_path=wire.READY_PATH,
    )


def main() -> int:
    """Serve until SIGTERM."""
    with JsonLogHandler(sys.stdout.fileno()).applicationbound():
        try:
            settings = load_settings(os.environ)
        except SettingsFileError as error:
            print(error, file=sys.stderr)
            return 2
        asyncio.run(_run(settings))
    return 0


async def _run(settings: EntrySettings) -> None:
    instance = build_instance(settings)
    reload_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload_requested.set)
    watch_task = asyncio.create_task(_watch_settings(instance, reload_requested))
    try:
        await instance.run()
    finally:
        watch_task.cancel()


async def _watch_settings(instance: EntryInstance, reload_requested: asyncio.Event) -> None:
    """Reload the settings on SIGHUP and whenever the file changes."""
    path = settings_path(os.environ)
    last_signature = _file_signature(path)
    while True:
        with suppress(TimeoutError):
            async with asyncio.timeout(FILE_CHECK_INTERVAL_S):
                await reload_requested.wait()
        if not reload_requested.is_set() and _file_signature(path) == last_signature:
            continue
        reload_requested.clear()
        last_signature = _file_signature(path)
        try:
            instance.reload(load_settings(os.environ))
        except SettingsFileError as error:
            log.warning("settings rejected", error=str(error))


def _file_signature(path: Path) -> tuple[int, int] | None:
    """Modification time and size of a file, None if it cannot be read."""
    try:
        stat = path.stat()
    except OSError:
        return None
    return (stat.st_mtime_ns, stat.st_size)


if __name__ == "__main__":
    sys.exit(main())
