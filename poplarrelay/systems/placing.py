"""Decide which models each engine loads, and send the orders.

Notes
-----
Only the holder of the placement duty sends orders. An order lists all models that the
engine is to have and the fencing token of the lease. An engine that checks the token
refuses an order of an earlier holder. An engine that does not check it can accept such
an order late, if the earlier holder was paused right before it sent the order. The
load report then differs from the target, and the current holder repeats its order
until they agree.
"""

from __future__ import annotations

import hashlib
from collections import Counter as CountOf
from collections.abc import Iterable, Iterator

from poplarrelay.configuration.schema import Template
from poplarrelay.identifiers import DomainId, EndpointId
from poplarrelay.messages.effects import Decision, Effect, LogDecision, SendModelOrder
from poplarrelay.messages.inbox import Inbox
from poplarrelay.messages.platform import OrderAnswered
from poplarrelay.systems.leasing import fencing_token, remaining_term
from poplarrelay.tables.endpoints import Endpoint, EndpointKind, EndpointState
from poplarrelay.tables.leases import Duty
from poplarrelay.tables.world import World

__all__ = ["place_models", "send_model_orders", "wanted_runners"]

#: Orders for models in progress at a time; the weight store's capacity is limited.
MAX_LOADING = 2
#: Seconds until an order is repeated if the load report does not show its models.
ORDER_REPEAT_S = 1.5
#: Age in seconds above which a load report is too old to decide on an order.
MAX_REPORT_AGE_S = 6.0


def wanted_runners(templates: Iterable[Template]) -> dict[str, int]:
    """Return how many engines each model needs, over all templates."""
    wanted: dict[str, int] = {}
    for template in templates:
        for model, runners in template.runners.items():
            wanted[model] = max(wanted.get(model, 0), runners)
    return wanted


def _score(model: str, endpoint: EndpointId) -> bytes:
    return hashlib.blake2b(f"{model}/{endpoint}".encode(), digest_size=8).digest()


def place_models(
    endpoints: Iterable[Endpoint], wanted: dict[str, int]
) -> dict[EndpointId, frozenset[str]]:
    """Return the models that each engine should have loaded.

    Parameters
    ----------
    endpoints : iterable of Endpoint
        All endpoints; only live engines are used.
    wanted : dict of str to int
        Number of engines that each model needs.

    Notes
    -----
    Engines that have the model loaded are chosen first. Then the order is: the failure
    domain with the fewest runners of the model, the engine with the fewest target
    models, the lowest price. Equal tables give the same placement on every node, so a
    new holder of the duty moves no model.
    """
    engines = [
        e
        for e in endpoints
        if e.kind is EndpointKind.ENGINE and e.state is EndpointState.LIVE
    ]
    targets = {e.id: set(e.loaded or ()) - set(wanted) for e in engines}
    for model, runners in sorted(wanted.items()):
        candidates = [e for e in engines if model in e.names]
        in_domain: CountOf[DomainId] = CountOf()
        for _ in range(min(runners, len(candidates))):
            chosen = min(
                candidates,
                key=lambda e: (
                    model not in (e.loaded or ()),
                    in_domain[e.domain],
                    len(targets[e.id]),
                    e.price,
                    _score(model, e.id),
                ),
            )
            candidates.remove(chosen)
            in_domain[chosen.domain] += 1
            targets[chosen.id].add(model)
    return {endpoint: frozenset(models) for endpoint, models in targets.items()}


def send_model_orders(world: World, inbox: Inbox, now: float) -> Iterator[Effect]:
    """Order each engine to load its models, if this node holds the placement duty."""
    for answered in inbox.of(OrderAnswered):
        endpoint = world.endpoints.get(answered.endpoint)
        if endpoint is not None:
            endpoint.order_in_flight = False
            yield LogDecision(
                Decision.PLACEMENT,
                (("endpoint", endpoint.id), ("order_taken", answered.taken)),
            )
    timeout = world.settings.timing.order_timeout_s
    remaining = remaining_term(world, Duty.PLACEMENT, now)
    if remaining <= 2 * timeout:
        return
    templates = [
        entry.value
        for entry in world.configuration.entries.values()
        if isinstance(entry.value, Template)
    ]
    wanted = wanted_runners(templates)
    if not wanted:
        return
    targets = place_models(world.endpoints.values(), wanted)
    expires_at = now + remaining - 2 * timeout
    for endpoint_id, models in sorted(targets.items()):
        yield from _order_models(
            world, world.endpoints[endpoint_id], models, expires_at, now
        )


def _orders_in_flight(world: World) -> int:
    return sum(1 for endpoint in world.endpoints.values() if endpoint.order_in_flight)


def _order_models(
    world: World,
    endpoint: Endpoint,
    models: frozenset[str],
    expires_at: float,
    now: float,
) -> Iterator[Effect]:
    if endpoint.loaded is None or endpoint.loaded == models or endpoint.order_in_flight:
        return
    reported_at = endpoint.reported_at
    if reported_at is None or now - reported_at > MAX_REPORT_AGE_S:
        return
    if now < endpoint.next_order_at or _orders_in_flight(world) >= MAX_LOADING:
        return
    fencing = fencing_token(world, Duty.PLACEMENT)
    if fencing is None:
        return
    endpoint.order_in_flight = True
    endpoint.next_order_at = now + ORDER_REPEAT_S
    yield LogDecision(
        Decision.PLACEMENT,
        (
            ("endpoint", endpoint.id),
            ("models", ",".join(sorted(models))),
            ("fencing", fencing),
        ),
    )
    yield SendModelOrder(
        endpoint.id,
        endpoint.address,
        fencing,
        world.node,
        tuple(sorted(models)),
        expires_at,
    )
