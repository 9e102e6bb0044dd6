"""The base of all bodies that the platform's protocol defines."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

from pydantic import BaseModel, ConfigDict

# Is called with the source of a decoded body, such as ``manifest``, and the body.
BodyObserver = Callable[[str, BaseModel], None]


def ignore_body(source: str, body: BaseModel) -> None:
    """Observe no bodies."""


def _to_kebab_case(name: str) -> str:
    return name.replace("_", "-")


class WireModel(BaseModel):
    """Base of all bodies. Unknown fields have no effect, but are reported.

    ``unused`` has the documented fields that this package does not need.
    """

    model_config = ConfigDict(
        extra="allow", alias_generator=_to_kebab_case, populate_by_name=True
    )
    unused: ClassVar[frozenset[str]] = frozenset()
