"""The errors that ``cranberryctl`` itself detects."""

from __future__ import annotations

from typing import Any

from .exceptions import CranberryrunError


class ControlError(CranberryrunError):
    """Base class of errors that ``cranberryctl`` itself detects."""

    code = "control"


class UsageError(ControlError):
    """The command line or an input file is not valid; nothing was sent."""

    code = "usage"


class ProblemAnswerError(ControlError):
    """A host answered with a problem object.

    :param answer_status: the HTTP status of the answer.
    :param problem: the problem object of the answer.
    """

    code = "problem_answer"

    def __init__(self, answer_status: int, problem: dict[str, Any]) -> None:
        super().__init__(
            str(
                problem.get("detail")
                or f"the host answered with HTTP status {answer_status}"
            )
        )
        self.answer_status = answer_status
        self.body = problem
        self.answer_code = str(problem.get("code", ""))


class HostsUnreachableError(ControlError):
    """None of the hosts could be reached; nothing was sent."""

    code = "hosts_unreachable"


class ChangeUnknownError(ControlError):
    """A change was sent, but its outcome was not known in time."""

    code = "change_unknown"


class NotInForceError(ControlError):
    """A change was applied, but not on all hosts in time."""

    code = "not_in_force"
