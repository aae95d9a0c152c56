"""Tests that an accepted configuration comes into force at all nodes.

The nodes run as real processes.
"""

import threading
import time

import pytest

from poplarrelay.testing.builders import deployment_body, small_site, template_body
from poplarrelay.testing.links import Link, LinkState
from poplarrelay.testing.processes import run_site, wait_until
from poplarrelay.testing.site import loopback_host

pytestmark = pytest.mark.processes

SHORT_TIMEOUTS = {
    "timing": {
        "log_wait_s": 0.5,
        "log_timeout_s": 0.5,
        "isolation_s": 1.0,
        "snapshot_s": 1.0,
        "lease_term_s": 7.0,
        "lease_margin_s": 1.0,
    }
}
SUBJECT = "deployment/beta"


@pytest.fixture
def site():
    with run_site(small_site(engines=1), settings=SHORT_TIMEOUTS) as running:
        yield running


def change(site, node, priority, **extra):
    body = {"subject": SUBJECT, "body": deployment_body("beta", priority=priority)}
    return site.post(site.peers_address(node), "/operator/configuration", body | extra)


def accepted_change(site, priority):
    answer = change(site, "node-1", priority)
    return answer if answer["status"] == "accepted" else None


def offsets_in_force(site):
    return [
        (site.status(node) or {"in_force": {}})["in_force"].get(SUBJECT)
        for node in site.nodes
    ]


def log_available(site, node):
    status = site.status(node)
    return bool(status and status["log_available"])


def wait_until_in_force(site, offset, timeout_s=4.0):
    wait_until(lambda: set(offsets_in_force(site)) == {offset}, timeout_s, "in force")


def in_force(site, node):
    value = site.get(site.peers_address(node), "/operator/configuration")
    return {e["subject"]: e["body"] for e in value["entries"]}[SUBJECT]


def test_accepted_change_is_in_force_at_all_nodes_within_seconds(site):
    answer = change(site, "node-1", 7)
    assert answer["status"] == "accepted"
    wait_until_in_force(site, answer["offset"])
    assert {in_force(site, node)["priority"] for node in site.nodes} == {7}


def test_concurrent_changes_get_one_winner_and_conflict_errors(site):
    # Three operators read the same state and change it through three nodes
    # concurrently. One change is accepted at all nodes; the other operators get the
    # offset of that change.
    current_offset = offsets_in_force(site)[0]
    answers = []

    def send_change(node, priority):
        answers.append(change(site, node, priority, after=current_offset))

    threads = [
        threading.Thread(target=send_change, args=(node, 10 + index))
        for index, node in enumerate(site.nodes)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    accepted = [a for a in answers if a["status"] == "accepted"]
    rejected = [a for a in answers if a["status"] == 409]
    assert len(accepted) == 1
    assert len(rejected) == 2
    assert {a["winner"] for a in rejected} == {accepted[0]["offset"]}
    wait_until_in_force(site, accepted[0]["offset"])


def test_lost_append_reply_does_not_repeat_or_undo_a_change(site):
    site.faults("log", lose_answers=1, lost_s=1.5)
    first = change(site, "node-1", 21)
    assert first["status"] == "accepted"
    second = change(site, "node-2", 22)
    assert second["status"] == "accepted"
    wait_until_in_force(site, second["offset"])
    time.sleep(2.0)
    assert {in_force(site, node)["priority"] for node in site.nodes} == {22}


def test_invalid_change_is_rejected_before_it_is_appended(site):
    before = site.get(site.platform["log"], "/statistics")["records"]["configuration"]
    body = deployment_body("beta", failure_domains=["nowhere"], models=["none"])
    answer = site.publish("node-1", SUBJECT, body)
    assert answer["status"] == 422
    assert len(answer["faults"]) == 2
    narrowed = template_body(failure_domains=["east"], models=[])
    site.publish("node-1", SUBJECT, deployment_body("beta", models=["small"]))
    assert site.publish("node-1", "template/base", narrowed)["status"] == 422
    after = site.get(site.platform["log"], "/statistics")["records"]["configuration"]
    assert after >= before


def test_old_record_appended_again_changes_nothing(site):
    first = change(site, "node-1", 31)
    second = change(site, "node-1", 32)
    log = site.platform["log"]
    old = site.get(log, f"/streams/configuration/records?from={first['offset']}")
    site.post(
        log, "/streams/configuration/records", {"records": [old["records"][0]["value"]]}
    )
    third = change(site, "node-2", 33)
    assert third["status"] == "accepted"
    wait_until_in_force(site, third["offset"])
    assert second["offset"] < third["offset"]


def test_no_change_is_accepted_while_the_log_is_unreachable(site):
    site.faults("log", refuse=True)
    wait_until(lambda: not log_available(site, "node-1"))
    answer = change(site, "node-1", 41)
    assert answer["status"] == 503
    assert answer["outcome"] == "not_run"
    assert all(site.ready(node) for node in site.nodes)


def test_node_that_starts_in_log_outage_gets_configuration_from_peers(site):
    accepted = change(site, "node-1", 51)
    wait_until_in_force(site, accepted["offset"])
    site.faults("log", refuse=True)
    site.nodes["node-3"].kill()
    site.start_node("node-3")
    wait_until(lambda: site.ready("node-3"))
    assert in_force(site, "node-3")["priority"] == 51


def test_node_without_log_and_peers_is_not_ready(site):
    site.faults("log", refuse=True)
    for node in site.nodes:
        site.nodes[node].kill()
    site.start_node("node-1")
    wait_until(lambda: site.status("node-1"))
    time.sleep(1.0)
    assert not site.ready("node-1")
    site.faults("log")
    wait_until(lambda: site.ready("node-1"))


def test_trimmed_records_are_replaced_by_a_snapshot():
    # The log retains records for a few seconds only. A node that starts later must use
    # a snapshot and the records after it. The nodes must also recover from a log outage
    # that is longer than the retention.
    options = ["--retention-s", "6"]
    with run_site(
        small_site(engines=1), settings=SHORT_TIMEOUTS, log_options=options
    ) as running:
        accepted = change(running, "node-1", 61)
        log = running.platform["log"]

        def trimmed():
            read = running.get(log, "/streams/configuration/records?from=0")
            return read is not None and read["oldest"] > accepted["offset"]

        wait_until(trimmed, 40.0, "records trimmed")
        running.nodes["node-2"].kill()
        running.start_node("node-2")
        wait_until(lambda: running.ready("node-2"), 30.0)
        assert in_force(running, "node-2")["priority"] == 61
        running.faults("log", refuse=True)
        time.sleep(8.0)
        running.faults("log")
        wait_until(lambda: log_available(running, "node-1"))
        again = wait_until(lambda: accepted_change(running, 62), 20.0)
        wait_until_in_force(running, again["offset"], 10.0)


def _restart_behind_link(running, node):
    """Put a link between a node and the log, and restart the node."""
    link = Link(loopback_host(10), running.platform["log"])
    running.node_settings[node]["platform"]["log"] = link.address
    running.nodes[node].kill()
    running.start_node(node)
    wait_until(lambda: running.ready(node), what=f"{node} behind its link")
    return link


def test_node_partitioned_from_log_gets_changes_from_its_peers(site):
    # Only this node is partitioned from the log. It must receive from its peers a
    # change that they accepted, and stay ready.
    link = _restart_behind_link(site, "node-3")
    link.set_state(LinkState.CUT)
    wait_until(lambda: not log_available(site, "node-3"))
    accepted = change(site, "node-1", 71)
    wait_until_in_force(site, accepted["offset"])
    assert site.ready("node-3")
    link.set_state(LinkState.INTACT)
    link.stop()


def test_node_that_gets_no_log_replies_does_not_accept_a_change(site):
    # The log gets the appends of the node, but its replies are lost. The change may
    # still come into force, but the node must not answer "accepted", because it does
    # not know that.
    link = _restart_behind_link(site, "node-3")
    link.set_state(LinkState.ONE_WAY)
    wait_until(lambda: not log_available(site, "node-3"))
    answer = change(site, "node-3", 81)
    assert answer["status"] in (503, 504)
    link.set_state(LinkState.INTACT)
    wait_until(lambda: log_available(site, "node-3"))
    accepted = change(site, "node-1", 82)
    wait_until_in_force(site, accepted["offset"])
    link.stop()


def test_single_node_partitioned_from_log_is_not_ready():
    with run_site(small_site(nodes=1, engines=1), settings=SHORT_TIMEOUTS) as running:
        link = _restart_behind_link(running, "node-1")
        link.set_state(LinkState.CUT)
        wait_until(lambda: not running.ready("node-1"), 10.0)
        link.set_state(LinkState.INTACT)
        wait_until(lambda: running.ready("node-1"), 10.0)
        link.stop()


def test_frozen_holder_of_a_duty_is_replaced(site):
    # The holder of the placement duty is paused for longer than its lease term. Another
    # node takes the duty with a higher fencing token. After the old holder resumes, it
    # does not get the duty back.
    def duty(node):
        return (site.status(node) or {"duties": {}})["duties"].get("placement", {})

    wait_until(lambda: duty("node-1").get("holder"))
    holder = duty("node-1")["holder"]
    before = duty("node-1")["fencing"]
    other = next(node for node in site.nodes if node != holder)
    site.nodes[holder].freeze()
    wait_until(lambda: duty(other).get("holder") not in (None, holder), 30.0)
    assert duty(other)["fencing"] > before
    site.nodes[holder].thaw()
    wait_until(lambda: duty(holder).get("holder") == duty(other)["holder"], 10.0)


def test_stale_model_order_is_corrected():
    # An engine that does not check fencing tokens accepts an order of an earlier duty
    # holder. Its load report then shows models that differ from the placement, and the
    # current holder must send its order again.
    template = {"runners": {"small": 1}, "models": ["small", "large"]}
    engine = {"names": ["small", "large"], "checks_fencing": False}
    with run_site(
        small_site(engines=2, template=template, engine=engine), settings=SHORT_TIMEOUTS
    ) as running:
        engines = [running.endpoints[f"engine-{n}"].address for n in (1, 2)]

        def loaded_models():
            return [set(running.get(a, "/orders")["models"]) for a in engines]

        def one_engine_has_small():
            return sum("small" in models for models in loaded_models()) == 1

        wait_until(one_engine_has_small, 30.0, "one engine has the model")
        placed = engines[["small" in models for models in loaded_models()].index(True)]
        stale = {"fencing": 0, "holder": "old", "models": ["large"], "role": "serve"}
        running.post(placed, "/orders", stale)
        assert running.get(placed, "/orders")["models"] == ["large"]
        wait_until(one_engine_has_small, 15.0, "the stale order is corrected")
