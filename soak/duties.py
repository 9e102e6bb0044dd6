"""Checks of the calls that hosts made to the platform's API."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from standins.platform_api import RecordedCall

_USAGE_PATH = "/usage"
# Time in which only one host may make calls, as in ``engine_lease_ms``.
_LEASE_SECONDS = 3.0


def check_reports(accepted: Iterable[RecordedCall]) -> Iterator[str]:
    """Yield the windows for which reports with different counts were accepted."""
    counts_by_window: dict[int, dict[str, int]] = {}
    for call in accepted:
        if call.path != _USAGE_PATH:
            continue
        window, counts = call.body["window"], call.body["counts"]
        first_counts = counts_by_window.setdefault(window, counts)
        if counts != first_counts:
            yield (
                f"window {window}: {call.holder} reported {counts}"
                f" after a report of {first_counts}"
            )


def check_holders(calls: Iterable[RecordedCall]) -> Iterator[str]:
    """Yield calls that show two holders at one time.

    :param calls: all calls that arrived, in this order, whatever their answer.
    """
    highest_by_subject: dict[tuple[str, str, str], int] = {}
    holder_by_token: dict[int, str] = {}
    last_call_by_holder: dict[str, RecordedCall] = {}
    previous: RecordedCall | None = None
    for call in calls:
        subject = (call.path, call.body.get("service", ""), call.body.get("zone", ""))
        highest = highest_by_subject.get(subject, call.token)
        highest_by_subject[subject] = max(highest, call.token)
        if call.token < highest:
            yield f"{call.holder} called {subject} with {call.token} after {highest}"
        if holder_by_token.setdefault(call.token, call.holder) != call.holder:
            yield f"two holders called with fencing token {call.token}"
        own = last_call_by_holder.get(call.holder)
        changed = previous is not None and previous.holder != call.holder
        if own is not None and changed and call.time < own.time + _LEASE_SECONDS:
            yield (
                f"{call.holder} called {call.time - own.time:.2f} s after its last"
                f" call, but {previous.holder} had called in between"
            )
        last_call_by_holder[call.holder] = previous = call
