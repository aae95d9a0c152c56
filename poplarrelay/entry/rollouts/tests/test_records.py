"""Records of roll-outs: merging, encoding, and records of foreign writers."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarrelay.entry.configuration import ServiceName
from poplarrelay.entry.rollouts.evidence import (
    decode_evidence,
    encode_evidence,
    subtract_evidence,
    sum_evidence,
)
from poplarrelay.entry.rollouts.records import (
    RolloutOrder,
    RolloutPhase,
    RolloutProgress,
    RolloutState,
    decode_progress,
    encode_progress,
    merge_progress,
)
from poplarrelay.exception import PlatformRecordMalformed
from poplarrelay.identifiers import Offset, SoftwareVersion
from poplarrelay.platform.records import (
    decode_rollout_order,
    decode_rollout_status,
    encode_rollout_status,
)
from poplarrelay.testing.rollouts import make_evidence, make_progress

DESK = ServiceName("desk")
times = st.floats(0, 100, allow_nan=False)
progresses = st.builds(
    RolloutProgress,
    st.builds(
        RolloutOrder,
        st.just(DESK),
        st.just(SoftwareVersion("2")),
        st.just(12.0),
        st.integers(0, 2).map(Offset),
    ),
    times,
    times,
    st.sampled_from(RolloutPhase),
    st.just(""),
    st.frozensets(st.sampled_from("13").map(SoftwareVersion)),
    st.integers(0, 3),
    st.sampled_from(["a", "b"]),
)


@given(progresses, progresses, progresses)
def test_merged_progress_does_not_depend_on_the_order_of_arrival(first, second, third):
    def merge(*reports):
        merged = reports[0]
        for report in reports[1:]:
            merged = merge_progress(merged, report)
        return merged.order.offset, merged.phase, merged.ordered_at, merged.token

    assert merge(first, second, third) == merge(third, first, second)


@given(progresses, progresses)
def test_phase_of_an_order_never_goes_back(known, other):
    merged = merge_progress(known, other)
    assert merged.order.offset >= known.order.offset
    if merged.order.offset == known.order.offset:
        assert merged.phase.value >= known.phase.value


def test_progress_and_evidence_survive_their_encoding():
    progress = make_progress(RolloutPhase.MOVING).bar([SoftwareVersion("1")])
    encoded = orjson.loads(orjson.dumps(encode_progress(progress)))
    assert decode_progress(encoded) == progress
    evidence = make_evidence((30, 2), (300, 4), slow=3)
    encoded = orjson.loads(orjson.dumps(encode_evidence(evidence)))
    assert decode_evidence(encoded) == evidence


@pytest.mark.parametrize("raw", [[], [1], None, b"{}", ["desk"] * 11])
def test_malformed_progress_is_a_value_error(raw):
    with pytest.raises(ValueError):
        decode_progress(raw)


def test_evidence_of_nodes_adds_up_and_can_be_split_by_time():
    start = make_evidence((10, 1), (100, 2))
    total = sum_evidence([start, make_evidence((5, 3), (50, 0))])
    recent = subtract_evidence(total, start)
    for side, (answers, failures) in zip(recent.counts, [(5, 3), (50, 0)], strict=True):
        assert (recent.answers(side), recent.failures(side)) == (answers, failures)


@pytest.mark.parametrize(
    "changes",
    [
        {"target": None},
        {"target": ""},
        {"durationS": 0},
        {"durationS": -3},
        {"durationS": "12"},
        {"durationS": 1e300},
        {"service": "other"},
    ],
)
def test_malformed_order_is_refused_with_the_faulty_field(changes):
    value = {"service": "desk", "target": "v2", "durationS": 12, **changes}
    with pytest.raises(PlatformRecordMalformed) as error:
        decode_rollout_order(DESK, orjson.dumps(value), Offset(3))
    assert next(iter(changes)) in str(error.value)


def test_order_and_state_have_the_operators_format():
    content = b'{"service":"desk","target":"v2","durationS":12}'
    order = decode_rollout_order(DESK, content, Offset(3))
    assert order == RolloutOrder(DESK, SoftwareVersion("v2"), 12.0, Offset(3))
    status = encode_rollout_status(RolloutState.IN_PROGRESS, SoftwareVersion("v2"))
    assert orjson.loads(status) == {"state": "in_progress", "target": "v2"}
    assert decode_rollout_status(DESK, status) == ("v2", RolloutState.IN_PROGRESS)
    with pytest.raises(PlatformRecordMalformed):
        decode_rollout_status(DESK, b'{"state":"done"}')
