"""Use the capacity decision as a library: hosts to start for a demand."""

from poplarrelay.configuration.schema import CapacityPolicy
from poplarrelay.identifiers import DomainId
from poplarrelay.systems.capacity import plan_capacity
from poplarrelay.tables.capacity import Demand

POLICY = CapacityPolicy.model_validate(
    {
        "model": "small",
        "slots": 8,
        "max_hosts": 12,
        "base_hosts": 1,
        "offers": [
            {"machine_class": "spot", "price": 1.0},
            {"machine_class": "fixed", "price": 4.0, "reclaimable": False},
        ],
    }
)
DOMAINS = [DomainId(name) for name in ("east", "west", "north")]


def show(demand: Demand, refused: frozenset[tuple[DomainId, str]]) -> None:
    """Print the starts that are planned when some offers are refused."""
    plan = plan_capacity(POLICY, [], demand, DOMAINS, refused)
    names = [f"{offer.machine_class} in {domain}" for domain, offer in plan.starts]
    print(f"start {', '.join(names)}")


def main() -> None:
    """Plan with all offers, then with the cheap offers refused."""
    demand = Demand(total=20.0, urgent=5.0)
    show(demand, frozenset())
    show(demand, frozenset((domain, "spot") for domain in DOMAINS))


if __name__ == "__main__":
    main()
