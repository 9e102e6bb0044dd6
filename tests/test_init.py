"""Tests of the public names of the package."""

import subprocess
import sys
import unittest

import cranberryrun


class PublicNamesTest(unittest.TestCase):
    def test_every_public_name_can_be_imported(self):
        for name in cranberryrun.__all__:
            with self.subTest(name=name):
                self.assertEqual(getattr(cranberryrun, name).__name__, name)

    def test_unknown_name_raises_attribute_error(self):
        with self.assertRaises(AttributeError):
            cranberryrun.no_such_name

    def test_command_line_does_not_import_host_services(self):
        code = (
            "import sys, cranberryrun.ctl; sys.exit('cranberryrun.host' in sys.modules)"
        )
        run = subprocess.run([sys.executable, "-c", code], timeout=30)
        self.assertEqual(run.returncode, 0)
