"""Fill in a settings template as the operators' platform does, for tests."""

from __future__ import annotations

import re
from typing import Any

import orjson

__all__ = ["fill_in"]

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.@,]+)(\|json)?\}\}")


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Return a template with its sections and values replaced.

    Parameters
    ----------
    template : str
        Template with sections and values. ``{{#name}}`` to ``{{/name}}`` is repeated
        for each entry of a value, ``{{^name}}`` to ``{{/name}}`` stays if there is no
        value. Within an entry, ``{{@}}`` is its key, ``{{.}}`` the entry, and
        ``{{,}}`` a comma except after the last one.
    fields : dict
        Values of the process to start, as nested dictionaries.

    Examples
    --------
    >>> fill_in("{{a.b|json}}{{#c}} {{.}}{{,}}{{/c}}", {"a": {"b": "x"}, "c": [1, 2]})
    '"x" 1, 2'
    >>> fill_in("{{#a}}there{{/a}}{{^a}}not there{{/a}}", {})
    'not there'
    """
    return _fill(template, [fields], "", last=True)


def _fill(template: str, scopes: list[Any], key: str, last: bool) -> str:
    def replace_section(match: re.Match[str]) -> str:
        sign, name, inner = match.groups()
        value = _look_up(scopes, name)
        if sign == "^":
            return "" if value else _fill(inner, scopes, key, last)
        entries = _entries(value)
        return "".join(
            _fill(inner, [entry, *scopes], entry_key, number == len(entries))
            for number, (entry_key, entry) in enumerate(entries, 1)
        )

    def replace_value(match: re.Match[str]) -> str:
        name, as_json = match.groups()
        if name == "@":
            return key
        if name == ",":
            return "" if last else ","
        return _text(_look_up(scopes, name), as_json=bool(as_json))

    return _VALUE.sub(replace_value, _SECTION.sub(replace_section, template))


def _entries(value: Any) -> list[tuple[str, Any]]:
    if not value:
        return []
    if isinstance(value, dict):
        return list(value.items())
    if isinstance(value, list):
        return [(str(number), entry) for number, entry in enumerate(value)]
    return [("", value)]


def _look_up(scopes: list[Any], name: str) -> Any:
    if name == ".":
        return scopes[0]
    for scope in scopes:
        found = scope
        for part in name.split("."):
            if isinstance(found, list) and part.isdigit() and int(part) < len(found):
                found = found[int(part)]
            elif isinstance(found, dict):
                found = found.get(part)
            else:
                found = None
        if found is not None:
            return found
    return None


def _text(value: Any, as_json: bool) -> str:
    if value is None:
        return ""
    if as_json or isinstance(value, dict):
        return orjson.dumps(value).decode()
    if isinstance(value, list):
        return ",".join(str(entry) for entry in value)
    return str(value)
