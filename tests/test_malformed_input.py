"""Malformed messages raise typed errors, whatever their bytes are.

An unexpected error in a decoder would end the loop that reads a topic, or a whole
process. Every decoder of the platform's adapter and of the project's own records gets
random bytes, random JSON, and valid messages with a part replaced.
"""

import json
import struct
import unittest

from hypothesis import given, settings, strategies as st

from cranberryrun.batches.records import Accepted, Decoder, encode
from cranberryrun.exceptions import CranberryrunError, LogReadError
from cranberryrun.platform import batch_wire, wire
from cranberryrun.platform.event_parser import EventParser
from cranberryrun.platform.store_client import StoreClient, _decode_page
from fakes.deployment import batch_route, scored_batch

from .test_platform_host import manifest, submission

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda values: st.lists(values, max_size=4)
    | st.dictionaries(st.text(max_size=8), values, max_size=4),
    max_leaves=8,
)
TARGET = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "born": 1,
    "sequence": 3,
    "models": [{"name": "m", "version": 1}],
}
VERSION = {"model": "m", "version": 2}
REPORT = {"busy": False, "sequence": 1, "models": [{"name": "m", "version": 1}]}
SCORER = {"id": "c", "host": "h", "path": "/score/1", "body": "eA=="}


def paths(value, prefix=()):
    """Yield the path of each part of a JSON value."""
    yield prefix
    children = ()
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, child in children:
        yield from paths(child, (*prefix, key))


def replaced(value, path, part):
    """Return a copy of a JSON value in which the part at ``path`` is replaced."""
    if not path:
        return part
    copy = json.loads(json.dumps(value))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = part
    return copy


def malformed(valid):
    """Return a strategy for messages that are like ``valid`` or nothing like it."""
    mutations = st.builds(
        lambda path, part: json.dumps(replaced(valid, path, part)).encode(),
        st.sampled_from(list(paths(valid))),
        JSON_VALUES,
    )
    return (
        st.binary(max_size=64)
        | JSON_VALUES.map(lambda value: json.dumps(value).encode())
        | mutations
    )


def scored_submission():
    value = submission(items=1, size=1)
    value["items"][0]["scorer"] = SCORER
    return value


class DecoderTest(unittest.TestCase):
    def check(self, decode, *args):
        """Decode; only errors of the package may be raised."""
        try:
            decode(*args)
        except CranberryrunError:
            # The error is typed, so the caller handles it.
            pass

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(malformed(TARGET))
    def test_target(self, value):
        self.check(wire.WireDecoder().target, "i-1", value)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(malformed(manifest()))
    def test_manifest(self, value):
        self.check(wire.WireDecoder().manifest, "config", value)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(malformed(VERSION))
    def test_version(self, value):
        self.check(wire.WireDecoder().version, "version/m", value)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(malformed(REPORT))
    def test_report(self, value):
        self.check(wire.decode_report, value)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(malformed(scored_submission()))
    def test_submission(self, value):
        self.check(batch_wire.decode_batch, "b1", batch_route(), value)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.data())
    def test_record_of_a_batch(self, data):
        (record,) = encode(Accepted(scored_batch(groups=1, size=1)), 262_144)
        valid = json.loads(record[1:])
        value = data.draw(
            malformed(valid).map(lambda payload: b"w" + payload)
            | st.binary(max_size=64)
            | st.binary(max_size=64).map(lambda payload: b"f" + payload)
        )
        self.check(Decoder().decode, value)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.binary(max_size=40) | st.just(b"\n\n"), max_size=8))
    def test_event_stream(self, chunks):
        parser = EventParser()
        for chunk in chunks:
            self.check(parser.feed, chunk)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=16), st.binary(max_size=64))
    def test_page_of_the_store(self, header, content):
        for answer in (header, struct.pack(">QQ", 3, 0) + content):
            try:
                _decode_page(0, answer)
            except LogReadError:
                continue

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=40))
    def test_keyed_record(self, record):
        StoreClient().parse_keyed_record(record)
