"""Run every test and compare the failures with ``KNOWN-RED.txt``.

Each line of ``KNOWN-RED.txt`` lists a test that is known to fail: the dotted test id
up to the first blank, then the command, the seed, what was seen and the issue. Lines
that start with ``#`` are comments. A failure that is not listed fails the run.
"""

import sys
from collections import Counter
from pathlib import Path

import nose2
from absl import logging

from .outcomes import outcome_by_id

_KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the lines of ``KNOWN-RED.txt``, by test id."""
    by_test_id: dict[str, str] = {}
    if not _KNOWN_RED.exists():
        return by_test_id
    for line in _KNOWN_RED.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        by_test_id[line.split()[0]] = line
    return by_test_id


def main() -> int:
    """Run the tests and return the exit code; 0 if no unlisted test failed."""
    # Log lines about the faults that tests inject would hide the report.
    logging.set_verbosity(logging.FATAL)
    run = nose2.main(
        module=None,
        exit=False,
        argv=["nose2", "-v", *sys.argv[1:]],
        plugins=["tests.heap", "tests.outcomes"],
    )
    counts = Counter(outcome_by_id.values())
    failed_ids = [
        test_id
        for test_id, outcome in outcome_by_id.items()
        if outcome in ("failed", "error")
    ]
    by_test_id = known_red()
    unlisted = [test_id for test_id in failed_ids if test_id not in by_test_id]
    for test_id in failed_ids:
        if test_id in by_test_id:
            print(f"known red: {by_test_id[test_id]}")
    for test_id in unlisted:
        print(f"failed: {test_id}")
    skipped = counts["skipped"]
    print(f"{counts['passed']} passed, {len(failed_ids)} failed, {skipped} skipped")
    if not outcome_by_id or unlisted:
        return 1
    if not failed_ids and not run.result.wasSuccessful():
        print("the test run failed, but no test is recorded as failed")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
