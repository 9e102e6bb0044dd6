"""Ports of the stand-ins and of the hosts in tests."""

import subprocess
import sys
import unittest

from standins.ports import free_port

_PRINT_PORTS = (
    "from standins.ports import free_port\nfor _ in range(150): print(free_port())"
)


class PortsTest(unittest.TestCase):
    """Guards against hosts that end at their start, as another suite has their port."""

    def test_two_processes_never_get_the_same_port(self):
        own = {free_port() for _ in range(150)}
        programs = [
            subprocess.Popen(
                [sys.executable, "-c", _PRINT_PORTS + "\ninput()"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(2)
        ]
        ports = [
            {int(program.stdout.readline()) for _ in range(150)} for program in programs
        ]
        for program in programs:
            program.communicate("\n", timeout=20)
        self.assertEqual([len(each) for each in ports], [150, 150])
        self.assertEqual(own & ports[0], set())
        self.assertEqual(own & ports[1], set())
        self.assertEqual(ports[0] & ports[1], set())
