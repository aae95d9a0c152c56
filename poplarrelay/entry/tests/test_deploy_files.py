"""The deploy file and the settings template that the operator's platform reads."""

import tomllib
from pathlib import Path

import orjson
import pytest

from poplarrelay.cli import app
from poplarrelay.entry.settings import EntrySettings
from poplarrelay.testing.templates import fill_in

ROOT = Path(__file__).parents[3]
#: Values that the platform fills into the template, by the platform's names.
FIELDS = {
    "nodeName": "edge-north-1",
    "ip": "10.1.0.14",
    "zone": "north",
    "zones": {"north": "west", "south": "west"},
    "listen": {
        "frontend": "10.1.0.14:8221",
        "readiness": "10.1.0.14:8224",
        "controlPlane": "10.1.0.14:8229",
        "registry": "10.1.0.14:8220",
    },
    "portRange": [7600, 7615],
    "seedNodes": ["10.1.0.14:8229", "10.2.0.4:8229"],
    "isBootstrap": True,
    "heartbeatMs": 1200,
    "platform": {"address": "10.200.1.7:8225", "ttlMinMs": 1000},
    "cloudApi": {"address": "10.200.0.35:8225", "duties": ["metering", "autoscale"]},
    "bounds": {
        "drainMs": 2000,
        "graceS": 8,
        "retryRatio": 0.2,
        "retrySlack": 58,
        "retryWindowS": 10,
        "quotaWindowS": 8,
        "quotaOverrun": 0.1,
        "quotaSlack": 140000,
        "leaseMs": 3000,
        "reportWindowS": 5,
        "usageLateS": 10,
        "ttl_max_s": 5,
    },
}


def settings_text(**changes):
    role = deploy_file()["roles"]["entry"]
    template = (ROOT / role["template"]).read_text()
    return fill_in(template, {**FIELDS, **changes})


def deploy_file():
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def test_template_gives_valid_settings():
    settings = EntrySettings.model_validate(orjson.loads(settings_text()))
    assert settings.node == "edge-north-1"
    assert settings.seed_hosts == ("10.1.0.14", "10.2.0.4")
    assert settings.listeners.gossip_port == 7600
    assert settings.platform.cloud == "10.200.0.35:8225"
    assert settings.bounds.retry_slack == 58


def test_platform_without_an_api_has_no_duties():
    settings = EntrySettings.model_validate(orjson.loads(settings_text(cloudApi={})))
    assert settings.platform.cloud is None


def test_role_runs_the_node_and_answers_discovery():
    deploy = deploy_file()
    roles = deploy["roles"].values()
    assert any("registry" in role["serves"] for role in roles)
    assert all(role["run"].startswith("python3 -m poplarrelay.entry") for role in roles)
    assert "target/deps" in deploy["build"]


def test_settings_are_checked_from_the_command_line(tmp_path, capsys):
    good = tmp_path / "good.json"
    good.write_text(settings_text())
    app(["config", "check", str(good), "--entry"], result_action="return_value")
    assert "edge-north-1" in capsys.readouterr().out
    bad = tmp_path / "bad.json"
    bad.write_text(settings_text(ip="10.1.0.14", seedNodes=["nowhere"], zone="-"))
    with pytest.raises(SystemExit) as ended:
        app(["config", "check", str(bad), "--entry"])
    assert ended.value.code == 78
    assert "failure_domain" in capsys.readouterr().err
