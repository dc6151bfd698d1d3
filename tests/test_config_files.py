"""Declarative files and settings: every fault with its line, field and remedy."""

import json
import tempfile
import unittest
from io import StringIO
from pathlib import Path

from papayalever.config.exceptions import InvalidConfigError
from papayalever.context import Environment
from papayalever.core import main
from papayalever.settings import load_settings
from papayalever.status import ExitStatus

EXAMPLES = Path(__file__).parents[1] / "examples"


def run(*arguments: str) -> tuple[ExitStatus, str]:
    env = Environment(stdout=StringIO(), stderr=StringIO())
    status = main(arguments, env)
    return status, env.stdout.getvalue() + env.stderr.getvalue()


class TestCheck(unittest.TestCase):
    def check(self, text: str, *options: str) -> tuple[ExitStatus, str]:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "file.yaml"
            path.write_text(text)
            return run("check", str(path), *options)

    def test_examples_are_valid(self):
        for name in ("schakelboek", "tlaloc"):
            status, text = run("check", str(EXAMPLES / f"{name}.yaml"))
            self.assertEqual(ExitStatus.SUCCESS, status, text)

    def test_each_fault_has_its_line_and_field(self):
        text = (EXAMPLES / "schakelboek.yaml").read_text()
        broken = text.replace("slots: 3", "slots: 0", 1).replace("order: 1", "ordre: 1")
        status, output = self.check(broken)
        self.assertEqual(ExitStatus.INVALID, status)
        line = 1 + next(i for i, item in enumerate(broken.splitlines()) if "slots: 0" in item)
        self.assertIn(f"line {line}: services.logboek.backends.0.slots", output)
        self.assertIn("ranks.normal.ordre", output)

    def test_references_are_checked(self):
        text = (EXAMPLES / "tlaloc.yaml").read_text()
        status, output = self.check(text.replace("home: gdl", "home: nowhere"), "--json")
        self.assertEqual(ExitStatus.INVALID, status)
        (fault,) = json.loads(output)["faults"]
        self.assertEqual("caller_blocks.1.home", fault["field"])

    def test_syntax_and_missing_file(self):
        self.assertEqual(ExitStatus.INVALID, self.check("regions: [")[0])
        self.assertEqual(ExitStatus.USAGE, run("check", "nowhere.yaml")[0])
        self.assertEqual(ExitStatus.USAGE, run("chekc")[0])


class TestSettings(unittest.TestCase):
    def test_unknown_key_and_impossible_value_are_refused(self):
        with self.assertRaises(InvalidConfigError) as caught:
            load_settings("id: a\nregion: r\nfailure_domain: d\nstore: x\npeer_listener: here\n")
        fields = {fault.field for fault in caught.exception.faults}
        self.assertLessEqual({"store", "peer_listener", "store_url"}, fields)
