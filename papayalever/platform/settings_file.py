"""Settings of an instance, read from the platform's file of ``a.b=value`` lines."""

from collections.abc import Mapping
from pathlib import Path

import logbook
import msgspec

from ..entry.settings import Bounds, EntrySettings

PATH_VARIABLE = "PAPAYALEVER_BOOT"
DEFAULT_PATH = "/etc/papayalever/settings.conf"

log = logbook.Logger("settings")


class SettingsFileError(Exception):
    """The settings file cannot be used; the message names the file or the field."""


def settings_path(variables: Mapping[str, str]) -> Path:
    """Path of the settings file."""
    return Path(variables.get(PATH_VARIABLE, DEFAULT_PATH))


def load_settings(variables: Mapping[str, str]) -> EntrySettings:
    """Read the settings file that the environment names; raises `SettingsFileError`."""
    path = settings_path(variables)
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsFileError(f"settings file {str(path)!r} cannot be read: {error}") from error
    return parse_settings(_decode_lines(data))


def parse_settings(text: str) -> EntrySettings:
    """Parse the text of a settings file; unknown fields are ignored."""
    value_by_name = _parse_lines(text)
    region_by_domain = {
        name.removeprefix("zones."): value
        for name, value in value_by_name.items()
        if name.startswith("zones.")
    }
    bounds = dict(
        item.split("=", 1) for item in value_by_name.get("bounds", "").split(",") if "=" in item
    )
    document = {
        "instance": _require_field(value_by_name, "node_name"),
        "ip": _require_field(value_by_name, "ip"),
        "failure_domain": _require_field(value_by_name, "zone"),
        "region": _require_field(value_by_name, "region"),
        "region_by_domain": region_by_domain,
        "caller_listener": _require_field(value_by_name, "listen.front"),
        "ready_listener": _require_field(value_by_name, "listen.ready"),
        "directory_listener": value_by_name.get("listen.directory"),
        "peer_listener": _require_field(value_by_name, "listen.control"),
        "seeds": [item for item in value_by_name.get("seeds", "").split(",") if item],
        "store": _require_field(value_by_name, "provider.address"),
        "history_s": value_by_name.get("provider.history_s", "20"),
        "heartbeat_s": _parse_number(
            "field 'heartbeat_ms'", value_by_name.get("heartbeat_ms", "1500")
        )
        / 1000,
        "store_writes_per_s": value_by_name.get("provider.writes_per_s", "400"),
        "memory_mb": value_by_name.get("limits.memory_mb", "222"),
        "max_fds": value_by_name.get("limits.max_fds", "2870"),
        "link_mbit_s": value_by_name.get("limits.link_mbps", "100"),
        "cpu_share": value_by_name.get("limits.cpu_share", "1"),
        "bounds": _parse_bounds(bounds),
    }
    try:
        return msgspec.convert(document, EntrySettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsFileError(f"settings file: {error}") from error


def _decode_lines(data: bytes) -> str:
    """Text of a file without the lines that are not UTF-8; they may be fields that nobody uses."""
    lines: list[str] = []
    for number, line in enumerate(data.splitlines(), 1):
        try:
            lines.append(line.decode())
        except UnicodeDecodeError as error:
            log.warning("line of the settings file ignored", line=number, error=str(error))
    return "\n".join(lines)


def _parse_lines(text: str) -> dict[str, str]:
    pairs = (line.split("=", 1) for line in text.splitlines() if "=" in line)
    return {name.strip(): value.strip() for name, value in pairs}


def _require_field(value_by_name: Mapping[str, str], name: str) -> str:
    if not value_by_name.get(name):
        raise SettingsFileError(f"settings file: field {name!r} is missing")
    return value_by_name[name]


def _parse_bounds(text_by_name: Mapping[str, str]) -> Bounds:
    def seconds(name: str, default_ms: float) -> float:
        return number(name, default_ms) / 1000

    def number(name: str, default: float) -> float:
        return _parse_number(f"bound {name!r}", text_by_name.get(name, str(default)))

    return Bounds(
        contact_s=seconds("contact_ms", 4000),
        drain_s=seconds("drain_ms", 2500),
        config_s=seconds("config_ms", 2500),
        evacuation_s=seconds("evacuation_ms", 2500),
        stop_s=number("grace_s", 6),
        reuse_after_s=number("reuse_after_s", 2),
        repeat_share=number("retry_budget_ratio", 0.2),
        repeat_window_s=number("budget_window_s", 10),
        repeat_extra=number("retry_budget_extra", 100),
        cold_factor=number("cold_over", 1.5),
        cold_extra=number("cold_slack", 5),
        max_answer_life_s=number("ttl_max_s", 5),
        max_shift=number("shift_most", 0.15),
    )


def _parse_number(name: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError as error:
        raise SettingsFileError(f"settings file: {name} is {text!r}, expected a number") from error
    if not 0 <= value < float("inf"):
        raise SettingsFileError(
            f"settings file: {name} is {text!r}, expected a finite number of 0 or more"
        )
    return value
