"""Use the fold of configuration changes as a library.

Two operators change the same template. The change that is first in the log comes into
force at every node.
"""

from poplarrelay.identifiers import Offset
from poplarrelay.messages.records import ChangeRecord
from poplarrelay.systems.configuring import fold_change
from poplarrelay.tables.configuration import ConfigurationTable

TEMPLATE = {
    "name": "shared",
    "models": ["small"],
    "failure_domains": ["east", "west"],
    "classes": {"standard": {"first_token_s": 1.7, "deadline_s": 30.0}},
}


def change(record: str, max_running: int, after: int | None) -> ChangeRecord:
    """Return the record of a change that expects offset `after` to be in force."""
    body = {**TEMPLATE, "limits": {"max_running": max_running}}
    return ChangeRecord(id=record, subject="template/shared", after=after, body=body)


def main() -> None:
    """Fold four records and print whether each one comes into force."""
    records = [
        change("first", 10, None),
        change("anna", 20, 0),
        change("bert", 30, 0),
        change("anna", 20, 0),
    ]
    table = ConfigurationTable()
    for offset, record in enumerate(records):
        verdict = fold_change(table, Offset(offset), record)
        print(f"{offset} {record.id}: {'in force' if verdict.won else 'lost'}")
    print(f"in force: offset {table.entries['template/shared'].offset}")


if __name__ == "__main__":
    main()
