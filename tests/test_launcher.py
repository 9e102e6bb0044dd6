"""What starting a host on the platform costs."""

import subprocess
import sys
import unittest

_LIST_MODULES = """
import gc, sys
from unittest.mock import patch
from cranberryrun.platform import launcher
import cranberryrun.platform.__main__ as host
with patch.object(host, "main", lambda: print(gc.isenabled())):
    launcher.main()
print(*sys.modules)
"""


class LauncherTest(unittest.TestCase):
    """Guards against slow starts: hosts imported the duties that no setting names."""

    def test_only_what_every_deployment_uses_is_imported(self):
        output = subprocess.run(
            [sys.executable, "-c", _LIST_MODULES],
            capture_output=True,
            check=True,
            text=True,
            timeout=60,
        ).stdout
        enabled, modules = output.splitlines()
        self.assertEqual(enabled, "True")
        for package in ("duties", "scaling", "ctl", "batches.explanation"):
            with self.subTest(package=package):
                imported = f"cranberryrun.{package}" in modules.split()
                self.assertFalse(imported)
