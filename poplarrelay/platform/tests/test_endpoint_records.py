"""Decoding of valid records and of malformed records from foreign writers."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.exception import PlatformRecordMalformed
from poplarrelay.identifiers import EndpointId, Offset
from poplarrelay.platform.records import decode_configuration, decode_endpoint
from poplarrelay.platform.store import LogPage, parse_page
from poplarrelay.testing.endpoint_lists import endpoint_record
from poplarrelay.testing.entry_site import entry_configuration

R1 = EndpointId("r1")


def test_valid_record_is_decoded():
    content = endpoint_record(
        "draining", preemptible=True, leaves_ms=1500, born=1_764_000_000_000, extra=[1]
    )
    record = decode_endpoint(R1, content)
    assert (record.service, record.host, record.port) == ("desk", "10.9.0.1", 7000)
    assert record.leaving
    assert record.reclaimable
    assert record.leaves_in_s == 1.5
    assert record.started_ms == 1_764_000_000_000


@pytest.mark.parametrize(
    "changes",
    [
        {"state": None},
        {"state": "busy"},
        {"state": 1},
        {"service": None},
        {"service": ""},
        {"service": ["desk"]},
        {"address": None},
        {"address": "10.9.0.1"},
        {"address": "10.9.0.1:0"},
        {"address": "10.9.0.1:70000"},
        {"address": 7000},
        {"zone": None},
        {"zone": 3},
        {"version": None},
        {"slots": None},
        {"slots": "4"},
        {"slots": 4.5},
        {"slots": 0},
        {"slots": True},
        {"slots": 10**12},
        {"coldRemainingMs": None},
        {"coldRemainingMs": "0"},
        {"sequence": None},
        {"sequence": "1"},
        {"preemptible": "yes"},
        {"leaves_ms": -1},
        {"leaves_ms": "soon"},
        {"born": 1.5},
        {"born": "1764000000000"},
        {"born": True},
    ],
    ids=str,
)
def test_record_with_an_invalid_field_is_rejected(changes):
    # A record without a state was once decoded as a ready endpoint, so the process at
    # its address got callers' requests.
    with pytest.raises(PlatformRecordMalformed):
        decode_endpoint(R1, endpoint_record(**changes))


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_rejected(content):
    with pytest.raises(PlatformRecordMalformed):
        decode_endpoint(R1, content)


@given(st.integers(0, 200))
def test_truncated_record_is_rejected(size):
    content = endpoint_record()
    if size < len(content):
        with pytest.raises(PlatformRecordMalformed):
            decode_endpoint(R1, content[:size])


@pytest.mark.parametrize(
    "record", [b"", b"\x00", b"\x00value", b"\x05r1", b"\x02\xff\xfe{}"], ids=repr
)
def test_record_without_a_key_is_skipped(record):
    # A record without a readable key once raised an error that ended the process, on
    # every node at once.
    valid = b"\x02r1" + endpoint_record()
    page = LogPage((valid, record, valid), Offset(13), Offset(13))
    found = parse_page(page, Offset(10))
    assert [(keyed.key, keyed.offset) for keyed in found] == [("r1", 10), ("r1", 12)]


@pytest.mark.parametrize("version", ["9", 9.0, True, None, [9]], ids=repr)
def test_configuration_without_an_integer_version_is_rejected(version):
    content = orjson.dumps({**entry_configuration(9), "version": version})
    with pytest.raises(PlatformRecordMalformed):
        decode_configuration(content)


@given(st.integers(0, 3000))
def test_truncated_configuration_is_rejected(size):
    content = orjson.dumps(entry_configuration(9))
    if size < len(content):
        with pytest.raises(PlatformRecordMalformed):
            decode_configuration(content[:size])
