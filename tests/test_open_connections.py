import unittest

from cranberryrun.open_connections import OpenConnection, OpenConnections


class StubConnection(OpenConnection):
    def __init__(self, state="idle", essential=False):
        self.state = state
        self.essential = essential
        self.closed = False

    def waits_for_request(self):
        return self.state == "idle"

    def waits_for_head(self):
        return self.state == "head"

    def abort(self):
        self.closed = True


class OpenConnectionsTest(unittest.TestCase):
    """Guards against ordinary callers that find no descriptor left."""

    def setUp(self):
        self.connections = OpenConnections(3)

    def add(self, *states, **options):
        added = [StubConnection(state, **options) for state in states]
        for connection in added:
            self.connections.add(connection)
        return added

    def closed(self, connections):
        return [each.closed for each in connections]

    def test_longest_idle_connection_gives_way(self):
        first = self.add("call", "idle", "idle")
        self.connections.note_request(first[1])
        self.add("call")
        self.assertEqual(self.closed(first), [False, False, True])
        self.assertEqual(len(self.connections), 3)

    def test_incomplete_heads_give_way_after_idle_connections(self):
        first = self.add("head", "idle", "head")
        self.add("call", "call")
        self.assertEqual(self.closed(first), [True, True, False])

    def test_calls_in_progress_are_kept(self):
        first = self.add("call", "call", "call")
        self.assertFalse(self.connections.add(StubConnection()))
        self.connections.remove(first[0])
        self.assertTrue(self.connections.add(StubConnection()))
        self.assertEqual(self.closed(first), [False, False, False])

    def test_essential_connections_find_room_and_are_kept(self):
        self.add("call", "call", "call")
        essential = self.add("idle", essential=True)
        self.assertEqual(len(self.connections), 4)
        self.assertFalse(self.connections.add(StubConnection()))
        self.assertEqual(self.closed(essential), [False])
