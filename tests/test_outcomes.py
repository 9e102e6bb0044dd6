"""The verdict of a whole run, which CI goes by."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_SECONDS = 30
_SUBTEST = """
import unittest


class Sample(unittest.TestCase):
    def test_parts(self):
        for n in range(3):
            with self.subTest(n=n):
                self.assertNotEqual(n, {wrong})
"""
_BROKEN = "import no_such_module_anywhere\n"


class VerdictTest(unittest.TestCase):
    def run_with(self, text: str) -> subprocess.CompletedProcess:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "test_sample.py").write_text(text)
            return subprocess.run(
                [sys.executable, "-m", "tests", "-s", folder, "-t", folder],
                cwd=_ROOT,
                capture_output=True,
                text=True,
                timeout=_SECONDS,
            )

    def test_a_failed_subtest_fails_the_run(self):
        run = self.run_with(_SUBTEST.format(wrong=1))
        self.assertEqual(run.returncode, 1, run.stdout + run.stderr)
        self.assertIn("0 passed, 1 failed", run.stdout)

    def test_passed_subtests_pass(self):
        run = self.run_with(_SUBTEST.format(wrong=5))
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)
        self.assertIn("1 passed, 0 failed", run.stdout)

    def test_a_module_that_can_not_be_loaded_fails_the_run(self):
        run = self.run_with(_BROKEN)
        self.assertEqual(run.returncode, 1, run.stdout + run.stderr)
