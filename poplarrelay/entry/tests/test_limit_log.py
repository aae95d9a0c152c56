"""Log lines on limits of the process."""

from poplarrelay.entry.caller_budget import CALLERS, CallerBudget, Limit, Reaction
from poplarrelay.entry.limit_log import QUIET_S, LimitLog


def messages(caplog):
    return [record.message for record in caplog.records]


def test_one_line_says_that_a_limit_is_reached_and_one_that_it_no_longer_is(caplog):
    caplog.set_level("INFO")
    budget = CallerBudget()
    log = LimitLog(budget)
    for step in range(100):
        budget.note(Limit.MEMORY, CALLERS, Reaction.REFUSED)
        log.tick(0.1 * step)
    budget.note(Limit.CONNECTIONS, "readiness", Reaction.CLOSED)
    log.tick(10.0)
    assert messages(caplog) == ["limit reached", "limit reached"]
    log.tick(10.0 + QUIET_S + 0.1)
    assert messages(caplog)[2:] == 2 * ["limit no longer reached"]
    ended = caplog.records[2].__dict__
    assert (ended["limit"], ended["listener"]) == ("memory", CALLERS)
    assert (ended["refused"], ended["closed"], ended["delayed"]) == (100, 0, 0)


def test_limit_that_is_reached_again_counts_anew(caplog):
    caplog.set_level("INFO")
    budget = CallerBudget()
    log = LimitLog(budget)
    for start in (0.0, 100.0):
        budget.note(Limit.MEMORY, CALLERS, Reaction.CLOSED)
        log.tick(start)
        log.tick(start + QUIET_S + 0.1)
    assert [r.__dict__.get("closed") for r in caplog.records] == [None, 1, None, 1]


def test_ordinary_day_logs_nothing(caplog):
    caplog.set_level("INFO")
    log = LimitLog(CallerBudget())
    for second in range(100):
        log.tick(float(second))
    assert messages(caplog) == []
