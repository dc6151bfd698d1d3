"""Cost of mapping caller blocks to home regions and of loading a file with as many blocks."""

import random
import sys
import time
import tracemalloc

from papayalever.config.bundles import digest_bundle, make_delta, pack, unpack
from papayalever.config.loader import load_configuration
from papayalever.lookup.blocks import BlockMap

from .report import print_rows

SIZES = (15_000, 30_000, 60_000, 120_000)
HOMES = [f"region-{number}" for number in range(77)]
LOOKUPS = 200_000
SEED = 7


def make_text(blocks: int) -> str:
    """Return a configuration file with this many caller blocks and 77 home regions."""
    lines = ["regions:"]
    lines += [f"  {home}: {{failure_domains: [{home}-a]}}" for home in HOMES]
    lines += ["ranks:", "  urgent: {order: 0, deadline_s: 3}", "services:", "  shop:"]
    lines += ["    hosts: [shop.example]", "    routes: [{rank: urgent}]", "    backends:"]
    lines += [
        f'      - {{id: b-{number}, address: "10.0.0.{number}:80", failure_domain: {home}-a, '
        "slots: 4, connections: 800}"
        for number, home in enumerate(HOMES)
    ]
    lines.append("caller_blocks:")
    for number in range(blocks):
        address = f"{1 + number // 65_536}.{number // 256 % 256}.{number % 256}.0/24"
        lines.append(f"  - {{cidr: {address}, home: {HOMES[number % len(HOMES)]}}}")
    return "\n".join(lines) + "\n"


def measure(blocks: int) -> list[str]:
    """Measure one size and return its table row."""
    text = make_text(blocks)
    started_at = time.process_time()
    configuration = load_configuration(text)
    yaml_s = time.process_time() - started_at
    data = pack(text, configuration)
    digest = digest_bundle(data)
    started_at = time.process_time()
    loaded = unpack(digest, data, None)
    json_s = time.process_time() - started_at
    changed = text.replace("1.0.7.0/24, home: region-7", "1.0.7.0/24, home: region-8")
    changed_data = pack(changed, load_configuration(changed))
    delta = make_delta(data, changed_data)
    started_at = time.process_time()
    settings_only = text.replace("deadline_s: 3}", "deadline_s: 4}")
    settings_data = pack(settings_only, load_configuration(settings_only))
    started_at = time.process_time()
    unpack(digest_bundle(settings_data), settings_data, loaded)
    same_blocks_s = time.process_time() - started_at
    pairs = [(block.cidr, block.home) for block in configuration.caller_blocks]
    tracemalloc.start()
    started_at = time.process_time()
    built = BlockMap(pairs, HOMES)
    build_s = time.process_time() - started_at
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    rng = random.Random(SEED)
    addresses = [rng.getrandbits(24) + (1 << 24) for _ in range(LOOKUPS)]
    started_at = time.process_time()
    for address in addresses:
        built.find(address)
    find_us = (time.process_time() - started_at) / LOOKUPS * 1e6
    return [
        f"{blocks}",
        f"{len(text) / 1e6:.2f}",
        f"{len(data) / 1e6:.2f}",
        f"{yaml_s:.2f}",
        f"{json_s:.2f}",
        f"{same_blocks_s:.2f}",
        f"{len(delta) / 1000:.1f}",
        f"{build_s:.2f}",
        f"{size / 1e6:.2f}",
        f"{find_us:.2f}",
    ]


def main() -> None:
    """Print the table."""
    titles = [
        "blocks",
        "file MB",
        "packed MB",
        "YAML s",
        "body s",
        "same blocks s",
        "delta KB",
        "map s",
        "map MB",
        "find us",
    ]
    print_rows(titles, [measure(size) for size in SIZES])


if __name__ == "__main__":
    sys.exit(main())
