"""Use the routing decision as a library.

Three engines can take a request. The expensive engine is idle. One cheap engine is busy
but its forecast is in time. The other cheap engine would be late.
"""

from random import Random

from poplarrelay.identifiers import DomainId, EndpointId, RequestId, TeamId
from poplarrelay.systems.routing import Criteria, choose_endpoint
from poplarrelay.tables.endpoints import Endpoint, EndpointKind, LoadReport
from poplarrelay.tables.requests import Request, RequestClass, Work, WorkKind

NOW = 0.0


def engine(name: str, price: float, queued_tokens: int) -> Endpoint:
    """Return an engine with a load report that has a given queue."""
    report = LoadReport(
        running=2,
        slots=8,
        queued_tokens=queued_tokens,
        prefill_tokens_per_s=2000.0,
        step_s=0.02,
    )
    return Endpoint(
        id=EndpointId(name),
        kind=EndpointKind.ENGINE,
        address="127.0.0.1:1",
        domain=DomainId("east"),
        names=frozenset({"small"}),
        price=price,
        report=report,
        reported_at=NOW,
    )


def main() -> None:
    """Print the chosen engine and its forecast time to the first token."""
    engines = [
        engine("dear-idle", 5.0, 0),
        engine("cheap-busy", 1.0, 1500),
        engine("cheap-late", 1.0, 9000),
    ]
    request = Request(
        id=RequestId("r1"),
        team=TeamId("pilots"),
        work=Work(WorkKind.COMPLETION, "small", prompt_tokens=400),
        request_class=RequestClass.URGENT,
        arrived=NOW,
        deadline=NOW + 10.0,
        first_token_s=1.7,
    )
    criteria = Criteria(
        domains=frozenset({DomainId("east")}),
        avoided=frozenset(),
        tried=frozenset(),
        now=NOW,
    )
    choice = choose_endpoint(engines, request, criteria, Random(1))
    assert choice is not None
    print(f"{choice.endpoint.id}: first token in {choice.predicted_s:.2f} s")


if __name__ == "__main__":
    main()
