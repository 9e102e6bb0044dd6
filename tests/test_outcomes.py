"""Tests of the exit code of ``python -m tests``, which decides whether CI passes."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_TIMEOUT_SECONDS = 30
_SUBTEST_MODULE = """
import unittest


class Sample(unittest.TestCase):
    def test_parts(self):
        for n in range(3):
            with self.subTest(n=n):
                self.assertNotEqual(n, {wrong})
"""
_UNLOADABLE_MODULE = "import no_such_module_anywhere\n"


class ExitCodeTest(unittest.TestCase):
    def run_tests(self, source: str) -> subprocess.CompletedProcess:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "test_sample.py").write_text(source)
            return subprocess.run(
                [sys.executable, "-m", "tests", "-s", folder, "-t", folder],
                cwd=_ROOT,
                capture_output=True,
                text=True,
                timeout=_TIMEOUT_SECONDS,
            )

    def test_the_run_fails_when_a_subtest_fails(self):
        run = self.run_tests(_SUBTEST_MODULE.format(wrong=1))
        self.assertEqual(run.returncode, 1, run.stdout + run.stderr)
        self.assertIn("0 passed, 1 failed", run.stdout)

    def test_the_run_passes_when_all_subtests_pass(self):
        run = self.run_tests(_SUBTEST_MODULE.format(wrong=5))
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)
        self.assertIn("1 passed, 0 failed", run.stdout)

    def test_the_run_fails_when_a_module_can_not_be_loaded(self):
        run = self.run_tests(_UNLOADABLE_MODULE)
        self.assertEqual(run.returncode, 1, run.stdout + run.stderr)
