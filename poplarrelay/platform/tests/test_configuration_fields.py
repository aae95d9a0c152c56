"""Fields of the configuration that restrict callers: absent, empty, null, malformed."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarrelay.entry.http.listener import IncomingRequest
from poplarrelay.entry.routing import Admitted, Denied, admit
from poplarrelay.exception import PlatformRecordMalformed
from poplarrelay.platform.headers import decode_request
from poplarrelay.platform.records import decode_configuration

KEYS = ("key-a", "key-b", "k", "")
ABSENT = object()
MALFORMED = object()


def make_configuration(**fields):
    route = {"name": "r", "host": "h", "pathPrefix": "/", "service": "s"}
    value = {"version": 1, "routes": [route], "services": [{"name": "s"}], **fields}
    return {name: field for name, field in value.items() if field is not ABSENT}


def with_route(**fields):
    value = make_configuration(tenants=[{"name": "a", "apiKeys": ["key-a"]}])
    value["routes"][0] |= {n: f for n, f in fields.items() if f is not ABSENT}
    return value


def with_team(**fields):
    team = {"name": "a", "apiKeys": ["key-a"], **fields}
    team = {name: field for name, field in team.items() if field is not ABSENT}
    return make_configuration(tenants=[team])


def admitted_keys(value):
    """Return the keys that a configuration admits, or that it is malformed."""
    try:
        configuration = decode_configuration(orjson.dumps(value))
    except PlatformRecordMalformed:
        return MALFORMED
    admitted = set()
    for key in KEYS:
        headers = [(b"Host", b"h"), (b"Authorization", b"Bearer " + key.encode())]
        incoming = IncomingRequest(b"GET", b"/x", headers, b"", False, 0.0)
        answer = admit(configuration, decode_request(incoming))
        assert isinstance(answer, Admitted | Denied)
        if isinstance(answer, Admitted):
            admitted.add(key)
    return admitted


@pytest.mark.parametrize(
    ("value", "admitted"),
    [
        (make_configuration(tenants=ABSENT), set(KEYS)),
        (make_configuration(tenants=None), set(KEYS)),
        (make_configuration(tenants=[]), set()),
        (make_configuration(tenants={}), MALFORMED),
        (make_configuration(tenants=""), MALFORMED),
        (make_configuration(tenants=False), MALFORMED),
        (make_configuration(tenants=0), MALFORMED),
        (make_configuration(tenants=[None]), MALFORMED),
        (make_configuration(tenants=["a"]), MALFORMED),
        (with_team(), {"key-a"}),
        (with_team(apiKeys=ABSENT), set()),
        (with_team(apiKeys=None), set()),
        (with_team(apiKeys=[]), set()),
        (with_team(apiKeys="key-a"), MALFORMED),
        (with_team(apiKeys=[""]), MALFORMED),
        (with_team(apiKeys=[None]), MALFORMED),
        (with_team(apiKeys={"key-a": 1}), MALFORMED),
        (with_team(name=None), MALFORMED),
        (with_route(anonymous=ABSENT), {"key-a"}),
        (with_route(anonymous=None), {"key-a"}),
        (with_route(anonymous=False), {"key-a"}),
        (with_route(anonymous=True), set(KEYS)),
        (with_route(anonymous="false"), MALFORMED),
        (with_route(anonymous=0), MALFORMED),
        (with_route(anonymous=[]), MALFORMED),
    ],
)
def test_keys_are_admitted_by_the_literal_configuration(value, admitted):
    # Guards against an empty or malformed field that opens routes to all callers.
    assert admitted_keys(value) == admitted


@pytest.mark.parametrize(
    ("rate", "limited"),
    [(ABSENT, False), (None, False), (0, False), (0.5, True), (5, True)],
)
def test_quota_is_absent_only_where_the_rate_is_absent_or_zero(rate, limited):
    configuration = decode_configuration(orjson.dumps(with_team(ratePerS=rate)))
    (team,) = configuration.teams.values()
    assert (team.quota is not None) is limited


@pytest.mark.parametrize("malformed", [-1, "5", True, [], {}])
@pytest.mark.parametrize(
    ("place", "field"),
    [
        ("team", "ratePerS"),
        ("team", "burst"),
        ("team", "priority"),
        ("route", "timeoutMs"),
        ("route", "targetLatencyMs"),
        ("route", "maxAttempts"),
        ("route", "priority"),
        ("limits", "maxBodyBytes"),
        ("limits", "maxHeaderBytes"),
        ("limits", "headerTimeoutMs"),
        ("limits", "idleTimeoutMs"),
        ("service", "maxConnections"),
    ],
)
def test_malformed_limit_rejects_the_configuration(place, field, malformed):
    # Guards against a malformed limit that is read as none.
    value = {
        "team": lambda: with_team(ratePerS=5, **{field: malformed}),
        "route": lambda: with_route(**{field: malformed}),
        "limits": lambda: make_configuration(limits={field: malformed}),
        "service": lambda: make_configuration(
            services=[{"name": "s", field: malformed}]
        ),
    }
    if place == "team" and field == "ratePerS":
        value["team"] = lambda: with_team(ratePerS=malformed)
    with pytest.raises(PlatformRecordMalformed):
        decode_configuration(orjson.dumps(value[place]()))


@pytest.mark.parametrize("flag", ["anonymous", "sticky", "resumable"])
@pytest.mark.parametrize("malformed", [0, 1, "true", "", [], {}])
def test_malformed_flag_rejects_the_configuration(flag, malformed):
    with pytest.raises(PlatformRecordMalformed):
        decode_configuration(orjson.dumps(with_route(**{flag: malformed})))


ODD = st.sampled_from(
    [ABSENT, None, [], {}, "", "key-a", 0, 1, -1, True, False, ["k"], [""], [None]]
)
KEY_LISTS = ODD | st.lists(st.sampled_from(["key-a", "key-b", "k"]), max_size=2)
TEAMS = st.fixed_dictionaries(
    {"name": st.sampled_from(["a", "b"]), "apiKeys": KEY_LISTS}
)


@settings(derandomize=True, max_examples=400)
@given(tenants=ODD | st.lists(TEAMS, max_size=3), anonymous=ODD)
def test_nothing_is_admitted_that_the_literal_reading_forbids(tenants, anonymous):
    if isinstance(tenants, list):
        tenants = [
            {n: f for n, f in team.items() if f is not ABSENT}
            if isinstance(team, dict)
            else team
            for team in tenants
        ]
    value = make_configuration(tenants=tenants)
    if anonymous is not ABSENT:
        value["routes"][0]["anonymous"] = anonymous
    admitted = admitted_keys(value)
    if admitted is MALFORMED or anonymous is True or value.get("tenants") is None:
        return
    listed = {key for team in tenants for key in team.get("apiKeys") or ()}
    assert admitted <= listed
