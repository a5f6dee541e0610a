"""``celeryfork check`` on a settings file of the users' platform."""

import json
import subprocess
import sys
from pathlib import Path

COMMAND = Path(sys.executable).parent / "celeryfork"
VALID_SETTINGS = {
    "nodeName": "front-1",
    "zone": "west",
    "ip": "10.1.0.40",
    "listen": {"front": "10.1.0.40:80", "ready": "10.1.0.40:81"},
    "portRange": [7340, 7355],
    "bounds": {
        "graceS": 8,
        "retryBudget": 0.2,
        "retrySlack": 198,
        "retryWindowS": 10,
    },
    "platform": {"addr": "10.200.1.7:80"},
}


def check(tmp_path, settings, module="celeryfork_adapter.settings"):
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(settings))
    return subprocess.run(
        [COMMAND, "check", "--json", "--format", module, path],
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_valid_settings_have_no_faults(tmp_path):
    result = check(tmp_path, VALID_SETTINGS)
    assert result.returncode == 0
    assert json.loads(result.stdout)["faults"] == []


def test_each_fault_is_reported_with_path_and_remedy(tmp_path):
    result = check(
        tmp_path, VALID_SETTINGS | {"zone": 7, "listen": {"front": "10.1.0.40:80"}}
    )
    assert result.returncode == 2
    faults = {each["path"]: each for each in json.loads(result.stdout)["faults"]}
    assert set(faults) == {"$['zone']", "$['listen']['ready']"}
    assert all(each["remedy"] for each in faults.values())


def test_format_module_without_settings_reader_is_rejected(tmp_path):
    result = check(tmp_path, VALID_SETTINGS, module="json")
    assert result.returncode == 2
    assert "reads no settings" in result.stderr
