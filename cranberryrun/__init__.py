"""A rollout service for reinforcement learning.

``__all__`` lists the public names. Each is imported on first use, so that the command
line starts quickly, without importing the services of a host.
"""

from importlib import import_module
from typing import Any

_MODULE_BY_NAME = {
    "BudgetPolicy": "budgets",
    "CranberryrunError": "exceptions",
    "EngineClient": "engine_client",
    "EngineSpec": "models",
    "FreshnessPolicy": "freshness",
    "Host": "host",
    "HostList": "membership",
    "Kernel": "kernel",
    "Log": "log",
    "PacingPolicy": "pacing",
    "RoutingPolicy": "routing",
    "Service": "kernel",
    "ServiceClient": "services",
    "ServiceSpec": "models",
    "Settings": "settings",
    "StepRequest": "models",
    "StragglerPolicy": "stragglers",
    "WorkloadSpec": "models",
    "load_settings": "settings",
}

__all__ = sorted(_MODULE_BY_NAME)


def __getattr__(name: str) -> Any:
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f".{module}", __name__), name)


def __dir__() -> list[str]:
    return __all__
