"""The replaceable policies that steps follow."""

from __future__ import annotations

from dataclasses import dataclass, field

from .budgets import BudgetPolicy, DeclaredRate
from .freshness import AtHandOver, FreshnessPolicy
from .stragglers import SecondAttempts, StragglerPolicy


@dataclass(frozen=True, slots=True)
class StepPolicies:
    """The replaceable policies that steps follow."""

    stragglers: StragglerPolicy = field(default_factory=SecondAttempts)
    freshness: FreshnessPolicy = field(default_factory=AtHandOver)
    budget: BudgetPolicy = field(default_factory=DeclaredRate)
