"""The base class of duties. A duty decides what to call and does no I/O."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any, ClassVar

from .client import DutyClient


@dataclass(frozen=True, slots=True)
class DutyCall:
    """One call of a duty.

    ``subject`` and ``number`` identify it: of all calls with both of them equal, only
    the first that the store has may be sent. ``content`` is JSON.
    """

    duty: str
    subject: str
    number: int
    content: dict[str, Any]


class Duty(ABC):
    """A duty of the lease holder, driven by the ``Duties`` service.

    The service asks for the next call, records it in the store, sends it until it is
    answered, and records the answer. After a change of the holder the new one first
    passes all records to its duties.
    """

    name: ClassVar[str]

    @abstractmethod
    def apply_record(self, call: DutyCall) -> None:
        """Take note of a recorded call, by this host or an earlier holder."""

    @abstractmethod
    def apply_answer(self, call: DutyCall, accepted: bool) -> None:
        """Take note that a recorded call was accepted, or refused for good."""

    @abstractmethod
    def next_call(self, now: float) -> DutyCall | None:
        """Return the next new call; None if there is none to make now.

        :param now: seconds since 1970.
        """

    @abstractmethod
    async def send(
        self, client: DutyClient, call: DutyCall, holder: str, fence: int
    ) -> None:
        """Make the call once; raises what the client raises."""
