"""Placement of models on engines."""

import pytest

from poplarrelay.engines.http import send_model_order
from poplarrelay.identifiers import EndpointId, NodeId, Offset
from poplarrelay.messages.effects import SendModelOrder
from poplarrelay.providers.http import JsonHttpClient
from poplarrelay.systems.placing import place_models
from poplarrelay.tables.endpoints import EndpointKind, EndpointState
from poplarrelay.testing.worlds import make_endpoint


@pytest.fixture
def engines():
    domains = ("east", "west", "north", "south")
    return [
        make_endpoint(
            f"e{index}",
            EndpointKind.ENGINE,
            domains[index % 4],
            names=frozenset({"small", "large"}),
            loaded=frozenset(),
        )
        for index in range(8)
    ]


def _holders(targets, model):
    return [endpoint for endpoint, models in targets.items() if model in models]


def test_runners_spread_over_failure_domains(engines):
    targets = place_models(engines, {"small": 4})
    domains = {e.domain for e in engines if "small" in targets[e.id]}
    assert len(_holders(targets, "small")) == 4
    assert domains == {"east", "west", "north", "south"}


def test_engines_that_have_the_model_keep_it(engines):
    engines[5].loaded = frozenset({"small"})
    engines[6].loaded = frozenset({"small"})
    targets = place_models(engines, {"small": 2})
    assert _holders(targets, "small") == ["e5", "e6"]


def test_a_leaving_engine_is_replaced(engines):
    engines[5].loaded = frozenset({"small"})
    engines[5].state = EndpointState.LEAVING
    targets = place_models(engines, {"small": 1})
    assert len(_holders(targets, "small")) == 1
    assert "e5" not in targets


def test_models_without_a_wanted_count_stay_loaded(engines):
    engines[0].loaded = frozenset({"other"})
    targets = place_models(engines, {"small": 1})
    assert "other" in targets[EndpointId("e0")]


def test_placement_does_not_depend_on_the_order_of_the_table(engines):
    wanted = {"small": 3, "large": 2}
    assert place_models(engines, wanted) == place_models(engines[::-1], wanted)


def test_an_order_is_not_sent_after_the_lease_term():
    # Guards against an order of a holder that is paused between its decision and the
    # send until its lease term is over. Nothing listens at the address, and a call of
    # the client fails the test.
    order = SendModelOrder(
        EndpointId("e"), "127.0.0.1:1", Offset(3), NodeId("n1"), ("small",), 0.0
    )

    class Forbidden(JsonHttpClient):
        def call(self, *arguments, **options):
            raise AssertionError("an order was sent after the term")

    assert send_model_order(order, Forbidden(1.0), 1.0) is False
