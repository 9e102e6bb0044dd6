"""Test cases whose event loop runs on a virtual clock."""

import asyncio
import unittest

import looptime

from fakes.loop import HostLoop


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """Run each test on an event loop whose clock advances only while all tasks wait."""

    def _setupAsyncioRunner(self) -> None:
        # Python 3.11 has no ``loop_factory`` attribute on the test case.
        self._asyncioRunner = asyncio.Runner(
            debug=False, loop_factory=looptime.new_event_loop
        )

    def now(self) -> float:
        """Return the virtual time, in seconds."""
        return asyncio.get_running_loop().time()


class HostTestCase(unittest.IsolatedAsyncioTestCase):
    """Run each test on a :class:`HostLoop`, which can pause single hosts."""

    def _setupAsyncioRunner(self) -> None:
        self._asyncioRunner = asyncio.Runner(debug=False, loop_factory=HostLoop)
