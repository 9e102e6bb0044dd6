"""Explains where a request would go now: a dry run of the forwarder's decisions.

Nothing is sent, no budget is spent and no state of the host changes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .. import clock
from ..exceptions import CranberryrunError
from ..fleet.client import Request
from ..fleet.directory import Directory, Target
from ..fleet.manifest import Route, RouteKind
from ..fleet.send_permits import SendPermits
from ..kernel import Kernel
from ..second_attempts.policy import delay_at
from ..second_attempts.service import SecondAttempts
from .crash_records import RequestCrashesTargetsError
from .crashes import Crashes
from .forwarder import Forwarder
from .routes import find_route


@dataclass(frozen=True, slots=True)
class Fact:
    """Something that is known; ``age`` is in seconds, None if it is not recorded."""

    text: str
    age: float | None = None


@dataclass(slots=True)
class TargetExplanation:
    """What speaks for and against a target, and whether it may be chosen now."""

    id: str
    service: str
    zone: str
    software: str
    eligible: bool
    reasons_for: list[Fact] = field(default_factory=list)
    reasons_against: list[Fact] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Refusal:
    """How the caller would be refused; ``retry_after`` is in seconds."""

    status: int
    code: str
    detail: str
    retry_after: float | None

    @classmethod
    def of(cls, error: CranberryrunError) -> Refusal:
        """Return the refusal that callers get for ``error``."""
        return cls(error.status, error.code, error.detail, error.retry_after)


@dataclass(slots=True)
class Explanation:
    """Where a request or a run would go now, as far as this host knows."""

    route: str | None = None
    kind: str | None = None
    service: str | None = None
    chosen: str | None = None
    refusal: Refusal | None = None
    facts: list[Fact] = field(default_factory=list)
    targets: list[TargetExplanation] = field(default_factory=list)


def explain_request(
    kernel: Kernel, method: str, host: str, target: str, workspace: str | None
) -> Explanation:
    """Explain a request without a body.

    :param target: path and query of the request.
    :param workspace: the name of the caller's workspace, if there are workspaces.
    """
    explanation = Explanation()
    directory = kernel.get(Directory)
    try:
        route = find_route(directory, host, target.partition("?")[0])
    except CranberryrunError as error:
        explanation.refusal = Refusal.of(error)
        return explanation
    finally:
        add_directory_facts(kernel, explanation)
    explanation.route = route.name
    explanation.kind = route.kind.value
    weights = ", ".join(f"{each.service} {each.weight:g}" for each in route.backends)
    explanation.facts.append(Fact(f"weights of the services: {weights}"))
    if route.kind is RouteKind.ROLLOUT:
        explanation.facts.append(
            Fact("the route takes batches; ask for the model to see the engines")
        )
        return explanation
    headers = (("Host", host),)
    request = Request("", method, target, headers, b"", 0.0, workspace)
    _explain_choice(kernel, route, request, explanation)
    return explanation


def add_directory_facts(kernel: Kernel, explanation: Explanation) -> None:
    """Add the manifest's version, and how long ago the store was read."""
    directory = kernel.get(Directory)
    operator_age, target_age = directory.seconds_since_read()
    version = directory.manifest.version if directory.manifest is not None else None
    explanation.facts += [
        Fact(f"manifest {version}", operator_age),
        Fact(f"{len(directory.target_by_id)} targets registered", target_age),
    ]


def _explain_choice(
    kernel: Kernel, route: Route, request: Request, explanation: Explanation
) -> None:
    forwarder = kernel.get(Forwarder).dry_run()
    service = forwarder.choose_service(route)
    explanation.service = service
    eligible = {each.id for each in forwarder.candidates(service, set())}
    for target in kernel.get(Directory).target_by_id.values():
        if any(backend.service == target.service for backend in route.backends):
            explanation.targets.append(
                _explain_target(kernel, forwarder, target, target.id in eligible)
            )
    crash = kernel.get(Crashes).explain(request)
    if crash.crashes:
        explanation.facts.append(
            Fact(f"{crash.crashes} targets ended under this request", crash.age)
        )
    chosen = forwarder.choose_target(service, set())
    if crash.decision.trial is not None and crash.decision.wait > 0:
        error = RequestCrashesTargetsError.after(crash.decision)
        explanation.refusal = Refusal.of(error)
    elif chosen is None:
        explanation.refusal = Refusal.of(forwarder.no_target_error(service))
    else:
        explanation.chosen = chosen.id
        if route.kind.repeatable and route.max_attempts > 1:
            _explain_hedge(kernel, forwarder, route, chosen, explanation)


def _explain_target(
    kernel: Kernel, forwarder: Forwarder, target: Target, eligible: bool
) -> TargetExplanation:
    """Return what the forwarder's decision depends on."""
    now = clock.now()
    state = forwarder.state_of(target.id)
    age = now - state.last_result_at if state.last_result_at is not None else None
    explained = TargetExplanation(
        target.id, target.service, target.zone, target.software, eligible
    )
    against = explained.reasons_against
    if target.draining:
        against.append(
            Fact("leaving", kernel.get(Directory).seconds_since_read()[1]),
        )
    add_limit_facts(kernel, target, explained)
    if not state.health.usable():
        seconds = state.health.cooldown_until - now
        against.append(Fact(f"in cooldown for {seconds:.2f} s", age))
    if state.health.failures or state.health.refusals:
        text = f"{state.health.failures} failures, {state.health.refusals} refusals"
        against.append(Fact(f"{text} since its last response", age))
    load = Fact(f"{state.in_flight} of {target.slots} slots used by this host", 0.0)
    full = state.in_flight >= target.slots
    (against if full else explained.reasons_for).append(load)
    if target.zone == forwarder.zone:
        explained.reasons_for.append(Fact("in the zone of this host"))
    else:
        against.append(Fact("in another zone: counts as half a request more"))
    return explained


def add_limit_facts(
    kernel: Kernel, target: Target, explained: TargetExplanation
) -> None:
    """Add the limit that the target named, if it did."""
    permits = kernel.get(SendPermits)
    limit = permits.limit_of(target.id)
    if limit is None:
        return
    rate, age = limit
    wait = permits.seconds_until_permit(target.id)
    text = f"limit of {rate:g} requests a second"
    if wait > 0:
        explained.reasons_against.append(
            Fact(f"{text}, used up for {wait:.2f} s", age),
        )
    else:
        explained.reasons_for.append(Fact(f"{text}, not used up", age))


def _explain_hedge(
    kernel: Kernel,
    forwarder: Forwarder,
    route: Route,
    first: Target,
    explanation: Explanation,
) -> None:
    """Add when and where a second attempt would be sent."""
    second_attempts = kernel.get(SecondAttempts)
    service = first.service
    if not second_attempts.limited:
        delay = forwarder.hedge_delay(service)
        text = f"another target gets it after {delay:.3f} s without a response"
        explanation.facts.append(Fact(text))
        return
    if not second_attempts.enabled:
        explanation.facts.append(Fact("no second attempts: max_extra_share is 0"))
        return
    expectation, age = second_attempts.explain(service)
    second = forwarder.choose_second_target(service, first)
    if expectation is None:
        text = "no second attempt: no recent expectation from the holder"
    elif second is None:
        text = "no second attempt: no other target has a free slot"
    else:
        due = delay_at(expectation, forwarder.second_target(second), route.latency_goal)
        text = (
            "no second attempt: it would not be faster"
            if due is None
            else f"{second.id} gets it after {due:.3f} s, if the holder permits"
        )
    explanation.facts.append(Fact(text, age))
