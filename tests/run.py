"""Run the tests; those named in KNOWN-RED.txt are printed and passed over."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "


class CountingResult(unittest.TextTestResult):
    """Collects the ids of passed and of failed tests."""

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.passed_ids: list[str] = []
        self.failed_ids: list[str] = []

    def addSuccess(self, test) -> None:  # noqa: N802
        super().addSuccess(test)
        self.passed_ids.append(test.id())

    def addFailure(self, test, err) -> None:  # noqa: N802
        super().addFailure(test, err)
        self.failed_ids.append(test.id())

    def addError(self, test, err) -> None:  # noqa: N802
        super().addError(test, err)
        self.failed_ids.append(test.id())

    def addSubTest(self, test, subtest, err) -> None:  # noqa: N802
        super().addSubTest(test, subtest, err)
        if err is not None and test.id() not in self.failed_ids:
            self.failed_ids.append(test.id())


def read_known_red() -> set[str]:
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {
        line.removeprefix(ENTRY_PREFIX).split()[0]
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    }


def main(names: list[str]) -> int:
    loader = unittest.defaultTestLoader
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(resultclass=CountingResult, verbosity=2).run(suite)
    known = read_known_red()
    red = [name for name in result.failed_ids if name in known]
    failed = [name for name in result.failed_ids if name not in known]
    for name in sorted(known):
        seen = "failed" if name in red else "passed" if name in result.passed_ids else "not run"
        print(f"known red: {name}: {seen}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{len(result.passed_ids)} passed, {len(failed)} failed, {len(red)} skipped")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
