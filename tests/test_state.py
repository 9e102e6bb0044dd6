"""Tests of the configuration state computed from log records."""

import json
import unittest

from hypothesis import given, settings, strategies as st
from returns.result import Failure

from cranberryrun import state as state_module
from cranberryrun.exceptions import ConflictError, InvalidInputError, NotFoundError
from cranberryrun.models import SnapshotRecord
from cranberryrun.state import ConfigState

from .replicas import put

_IDS = st.sampled_from(["c1", "c2", "c3", "c4", "c5"])
_CHANGES = st.builds(
    lambda change_id, name, expected, priority: put(
        change_id, name, expected, priority=priority
    ).model_dump(mode="json"),
    _IDS,
    st.sampled_from(["a", "b"]),
    st.integers(0, 3),
    st.integers(0, 2),
)
_DELETES = st.builds(
    lambda change_id, name, expected: put(change_id, name, expected).model_dump()
    | {"operation": "delete", "spec": None},
    _IDS,
    st.sampled_from(["a", "b"]),
    st.integers(0, 3),
)
_OTHER_RECORDS = st.sampled_from(
    [None, 7, {}, {"record": "change"}, {"record": "version", "workload": "a"}]
) | st.builds(
    lambda version: {"record": "version", "workload": "a", "version": version},
    st.integers(0, 9),
)
_RECORDS = st.lists(_CHANGES | _DELETES | _OTHER_RECORDS, max_size=20)


class ConfigStateTest(unittest.TestCase):
    def setUp(self):
        self.state = ConfigState()

    def apply(self, change):
        value = change if isinstance(change, dict) else change.model_dump(mode="json")
        return self.state.apply(self.state.offset + 1, 10.0, value)

    def test_second_change_of_a_generation_conflicts(self):
        self.apply(put("c1"))
        rejected = self.apply(put("c2", priority=1))
        self.assertIsInstance(rejected, Failure)
        self.assertIsInstance(rejected.failure(), ConflictError)
        self.assertEqual(self.state.get("workloads", "denoiser").spec.priority, 0)
        self.assertEqual(self.state.outcome_by_change["c2"].rejected, "conflict")

    def test_repeated_change_id_is_applied_once(self):
        self.apply(put("c1"))
        self.apply(put("c1"))
        self.assertEqual(self.state.generation("workloads", "denoiser"), 1)
        self.assertIsNone(self.state.outcome_by_change["c1"].rejected)

    def test_invalid_record_changes_nothing(self):
        self.apply(put("c1"))
        before = self.state.dump()
        for value in (None, "x", {"record": "change"}, {"record": "other"}, []):
            result = self.state.apply(self.state.offset + 1, 11.0, value)
            self.assertIsInstance(result.failure(), InvalidInputError)
        self.assertEqual(self.state.dump(), before)

    def test_rejection_names_the_invalid_spec_field(self):
        result = self.apply(put("c1", priority=1000))
        self.assertEqual(result.failure().field, "spec.priority")
        self.assertIsNone(self.state.get("workloads", "denoiser"))

    def test_deleted_resource_keeps_its_generation(self):
        self.apply(put("c1"))
        delete = put("c2", expected=1).model_copy(
            update={"operation": "delete", "spec": None}
        )
        self.apply(delete)
        self.assertIsNone(self.state.get("workloads", "denoiser"))
        second_delete = delete.model_copy(
            update={"change_id": "c3", "expected_generation": 2}
        )
        self.assertIsInstance(self.apply(second_delete).failure(), NotFoundError)
        self.apply(put("c4", expected=2))
        self.assertEqual(self.state.generation("workloads", "denoiser"), 3)

    def test_number_of_kept_outcomes_is_bounded(self):
        for n in range(state_module._MAX_OUTCOMES + 5):
            self.apply(put(f"c{n}", expected=n))
        self.assertEqual(len(self.state.outcome_by_change), state_module._MAX_OUTCOMES)
        self.assertNotIn("c0", self.state.outcome_by_change)

    def test_malformed_snapshot_is_rejected(self):
        valid = self.state.snapshot("h").model_dump(mode="json")
        for name in ("resources", "versions", "outcomes"):
            for value in (None, [1], [["planets", "x", 1, None, 1, 1, "c", False]]):
                malformed = valid | {"state": valid["state"] | {name: value}}
                with self.assertRaises(InvalidInputError):
                    ConfigState.load(SnapshotRecord.model_validate(malformed))

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(_RECORDS, st.integers(0, 20))
    def test_state_is_equal_when_resumed_from_any_snapshot(
        self, records, snapshot_offset
    ):
        uninterrupted = ConfigState()
        resumed = ConfigState()
        for offset, value in enumerate(records):
            uninterrupted.apply(offset, 10.0 + offset, value)
            if offset == snapshot_offset:
                text = resumed.snapshot("h").model_dump_json()
                resumed = ConfigState.load(SnapshotRecord.model_validate_json(text))
            resumed.apply(offset, 10.0 + offset, value)
            resumed.apply(offset, 10.0 + offset, value)
        self.assertEqual(
            json.dumps(uninterrupted.dump()), json.dumps(resumed.dump()), records
        )

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(_RECORDS)
    def test_generation_never_decreases(self, records):
        state = ConfigState()
        highest_generation: dict = {}
        for offset, value in enumerate(records):
            state.apply(offset, 0.0, value)
            for key, resource in state.by_key.items():
                self.assertGreaterEqual(
                    resource.generation, highest_generation.get(key, 0)
                )
                highest_generation[key] = resource.generation
