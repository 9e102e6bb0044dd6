"""The base class of duties. A duty decides what to call and does no I/O."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any, ClassVar

from .client import DutyClient


@dataclass(frozen=True, slots=True)
class DutyCall:
    """One call of a duty. ``content`` is JSON.

    The numbers of the calls of one ``subject`` increase. Of all calls with the same
    subject and number only the first that the store has is sent.
    """

    duty: str
    subject: str
    number: int
    content: dict[str, Any]


class Duty(ABC):
    """A duty of the lease holder, driven by the :class:`~.service.Duties` service.

    The service asks for the next call, records it in the store, sends it until it is
    answered, and records the answer. The calls of one subject are sent in the order of
    their records, each after the answer to the one before it. A new holder first passes
    all records that it has not read yet to its duties.
    """

    name: ClassVar[str]
    # Calls that the duty gave up before they were recorded. The service logs increases.
    skipped_count = 0

    @abstractmethod
    def apply_record(self, call: DutyCall) -> None:
        """Take note of a recorded call, by this host or an earlier holder."""

    @abstractmethod
    def apply_answer(self, call: DutyCall, accepted: bool) -> None:
        """Take note that a recorded call was accepted, or refused for good."""

    @abstractmethod
    def next_call(self, now: float) -> DutyCall | None:
        """Return the next new call; None if there is none to make now.

        Several calls of this method may precede :meth:`apply_record`.

        :param now: seconds since 1970.
        """

    @abstractmethod
    async def send(
        self, client: DutyClient, call: DutyCall, holder: str, fence: int
    ) -> None:
        """Make the call once; raises what the client raises."""

    def expired(self, call: DutyCall, now: float) -> bool:
        """Return whether a recorded call without an answer is no longer to be sent.

        The service then records it as refused. After a change of the holder, calls that
        were carried out may be without an answer; a duty whose older calls must not be
        repeated returns True for all but the newest one of a subject.

        :param now: seconds since 1970.
        """
        return False

    def due_at(self, call: DutyCall) -> float | None:
        """Return when the call is late, in seconds since 1970; None if it never is."""
        return None
