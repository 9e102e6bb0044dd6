"""The address of a target or a host."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from functools import lru_cache
from typing import Annotated, Any

from pydantic import PlainSerializer, PlainValidator

_PORT = re.compile(r"[1-9][0-9]{0,4}")
_MAX_PORT = 65_535


# The entries of all targets are read about once a second, and name the same addresses.
_MAX_PARSED = 4096


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address of a machine and a port."""

    ip: str
    port: int

    @classmethod
    @lru_cache(maxsize=_MAX_PARSED)
    def parse(cls, text: str) -> Address:
        """Return the address that a text of the form ``ip:port`` names.

        Names of machines and ports are not looked up.

        :raises ValueError: the text has another form, or names no single machine.
        """
        ip, _, port = text.partition(":")
        if _PORT.fullmatch(port) is None or int(port) > _MAX_PORT:
            raise ValueError(f"{text[:80]!r} is not an address of the form ip:port")
        machine = ipaddress.IPv4Address(ip)
        if machine.is_unspecified or machine.is_multicast or machine.is_reserved:
            raise ValueError(f"{text[:80]!r} is not the address of a single machine")
        return cls(str(machine), int(port))

    def __str__(self) -> str:
        """Return the address as in a URL."""
        return f"{self.ip}:{self.port}"


def _validate(value: Any) -> Address:
    if isinstance(value, Address):
        return value
    if not isinstance(value, str):
        raise ValueError("an address must be a text")
    return Address.parse(value)


# The field of a pydantic model that has an address as a text of the form ``ip:port``.
AddressField = Annotated[Address, PlainValidator(_validate), PlainSerializer(str)]
