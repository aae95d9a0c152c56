"""Tests that judge the target version, on counts alone."""

from random import Random

import pytest

from poplarrelay.entry.rollouts.evidence import Side, sum_evidence
from poplarrelay.entry.rollouts.verdict import FixedWindowTest, SequentialTest
from poplarrelay.testing.rollouts import make_evidence

TESTS = [SequentialTest(), FixedWindowTest()]


@pytest.mark.parametrize("test", TESTS)
def test_equal_versions_are_not_convicted(test):
    assert test.judge(make_evidence((200, 1), (2000, 8))) is None
    assert test.judge(make_evidence((200, 28), (2000, 280))) is None
    assert test.judge(make_evidence()) is None


@pytest.mark.parametrize("test", TESTS)
@pytest.mark.parametrize(
    "evidence",
    [make_evidence((60, 15), (600, 3)), make_evidence((60, 0), (600, 0), slow=20)],
)
def test_failures_and_slow_answers_convict(test, evidence):
    conviction = test.judge(evidence)
    assert conviction is not None
    assert conviction.bad >= 15
    assert "look" in conviction.why


def test_few_failures_suffice_if_they_are_frequent():
    assert SequentialTest().judge(make_evidence((9, 6), (300, 1))) is not None


def test_route_that_fails_for_all_versions_hides_no_fault_of_another_route():
    usual = make_evidence((100, 14), (1000, 140), route="remind")
    assert SequentialTest().judge(usual) is None
    faulty = make_evidence((40, 12), (400, 1), route="book")
    conviction = SequentialTest().judge(sum_evidence([usual, faulty]))
    assert conviction is not None
    assert conviction.what.endswith("book")


def test_fault_spread_over_routes_is_found_on_all_of_them_together():
    # Guards against a fault that no single route has enough answers to show.
    routes = [make_evidence((12, 2), (120, 0), route=f"r{n}") for n in range(6)]
    assert SequentialTest().judge(routes[0]) is None
    assert SequentialTest().judge(sum_evidence(routes)) is not None


@pytest.mark.parametrize("share", [0.0, 0.004, 0.14])
def test_good_version_is_rarely_convicted_however_often_it_is_judged(share):
    convicted = 0
    for seed in range(100):
        rng = Random(seed)
        evidence = make_evidence()
        for _ in range(40):
            target = [rng.random() < share for _ in range(10)]
            others = [rng.random() < share for _ in range(100)]
            more = make_evidence((10, sum(target)), (100, sum(others)))
            evidence = sum_evidence([evidence, more])
            if SequentialTest().judge(evidence) is not None:
                convicted += 1
                break
    assert evidence.answers(Side.TARGET) == 400
    assert convicted == 0
