"""Run every benchmark in turn."""

import asyncio

from . import blocks, config, costs, floods, ledger, membership, steering


def main() -> None:
    """Print the results of each benchmark under its command."""
    for module in (blocks, steering, costs, ledger, config, floods, membership):
        print(f"\n## python -m {module.__name__}\n", flush=True)
        result = module.main()
        if asyncio.iscoroutine(result):
            asyncio.run(result)


if __name__ == "__main__":
    main()
