"""Counts headers and fields that the adapter does not know, and logs each once.

The platform may announce something new in a header or a field long before this package
uses it. Without a record of such names, nothing in the logs shows what was ignored.
"""

from __future__ import annotations

from collections.abc import Iterable

from pydantic import BaseModel

from ..events import Events
from ..kernel import Service
from ..metrics import Metrics

# Names of one source beyond this many are counted together, so that neither the memory
# of a host nor the number of its time series depends on what others send, and callers
# hide nothing that targets say.
_MAX_NAMES_PER_SOURCE = 64
_OTHER_NAMES = "other"
_MAX_NAME_LENGTH = 64


class UnknownNames(Service):
    """Counts unknown names by their source; logs each name when it is first seen."""

    name = "unknown_names"
    requires = ("events", "metrics")

    def __init__(self) -> None:
        super().__init__()
        self._names_by_source: dict[str, set[str]] = {}

    def record_headers(
        self, source: str, names: Iterable[str], known: frozenset[str]
    ) -> None:
        """Record the headers that are not in ``known``.

        :param source: what has the headers, such as ``answer``.
        :param known: names in lower case.
        """
        for name in names:
            lowered = name.lower()
            if lowered not in known:
                self._record(source, lowered)

    def record_fields(self, source: str, body: BaseModel) -> None:
        """Record the fields of ``body`` that its model does not declare."""
        for name in _undeclared_fields(body):
            self._record(source, name)

    def _record(self, source: str, name: str) -> None:
        name = name[:_MAX_NAME_LENGTH]
        seen = self._names_by_source.setdefault(source, set())
        if name not in seen:
            if len(seen) >= _MAX_NAMES_PER_SOURCE:
                self.kernel.get(Metrics).unknown_name(source, _OTHER_NAMES)
                return
            seen.add(name)
            self.kernel.get(Events).emit("unknown_name", source=source, key=name)
        self.kernel.get(Metrics).unknown_name(source, name)


def _undeclared_fields(body: BaseModel) -> Iterable[str]:
    """Yield the paths of undeclared fields; lists add nothing to a path."""
    unused = getattr(type(body), "unused", ())
    for name in body.model_extra or ():
        if name not in unused:
            yield name
    for name in type(body).model_fields:
        value = getattr(body, name)
        parts = value if isinstance(value, list) else (value,)
        for part in parts:
            if not isinstance(part, BaseModel):
                break
            for inner in _undeclared_fields(part):
                yield f"{name}.{inner}"
