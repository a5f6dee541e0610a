"""``celeryfork check-config`` on configurations of the users' platform."""

import json
import subprocess
import sys
from copy import deepcopy
from pathlib import Path

import pytest
from celeryfork_adapter.configuration_check import check_configuration
from celeryfork_adapter.decode import UnreadableError, decode_configuration
from celeryfork_base.findings import Severity
from platform_standins import make_configuration

COMMAND = Path(sys.executable).parent / "celeryfork"
MISSING = object()


def changed(*path, value):
    """Return a configuration with one value changed or removed."""
    configuration = deepcopy(make_configuration(9))
    owner = configuration
    for each in path[:-1]:
        owner = owner[each]
    if value is MISSING:
        del owner[path[-1]]
    else:
        owner[path[-1]] = value
    return configuration


def check(configuration, in_force=None):
    before = None if in_force is None else json.dumps(in_force).encode()
    return check_configuration(json.dumps(configuration).encode(), before)


def findings(configuration, severity):
    report = check(configuration)
    return [each for each in report.findings if each.severity is severity]


def test_a_valid_configuration_has_no_findings():
    assert check(make_configuration(9)).findings == []


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), "nine"),
        (("version",), MISSING),
        (("routes",), None),
        (("routes", 0), 7),
        (("routes", 0, "host"), 7),
        (("routes", 0, "host"), ""),
        (("routes", 0, "timeoutMs"), 0),
        (("routes", 0, "timeoutMs"), "1500"),
        (("routes", 0, "sloMs"), MISSING),
        (("routes", 0, "service"), MISSING),
        (("routes", 0, "service"), "nobody"),
        (("routes", 0, "split"), [{"service": "llm"}]),
        (("routes", 0, "split"), [{"service": "llm", "weight": 0}]),
        (("routes", 0, "split"), [{"service": "llm", "weight": -1}]),
        (("routes", 0, "gapAimMs"), -1),
        (("services", 0, "name"), MISSING),
        (("services", 0, "engine", "layerMb"), 0),
        (("services", 0, "engine", "read_per_s"), None),
        (("services", 0, "engine", "kinds"), [{"name": "k"}]),
        (("tenants", 0, "weight"), 0),
        (("tenants", 0, "weight"), "2"),
        (("tenants", 0, "weight"), float("inf")),
        (("tenants", 0, "apiKeys"), MISSING),
        (("tenants", 0, "apiKeys", 0), ["k"]),
        (("limits",), MISSING),
        (("limits", "idleTimeoutMs"), 0),
        (("limits", "maxBodyBytes"), MISSING),
    ],
)
def test_a_wrong_value_is_an_error_with_path_and_remedy(path, value):
    errors = findings(changed(*path, value=value), Severity.ERROR)
    assert errors
    assert all(each.path.startswith("$") and each.remedy for each in errors)
    assert all(str(path[0]) in each.path or each.path == "$" for each in errors)


def test_all_errors_are_shown_at_once():
    """The instances' decoder stops at the first one."""
    configuration = changed("routes", 0, "timeoutMs", value=0)
    configuration["tenants"][0]["weight"] = -1
    configuration["limits"]["headerTimeoutMs"] = "1 s"
    paths = {each.path for each in findings(configuration, Severity.ERROR)}
    assert paths == {
        "$.routes[0].timeoutMs",
        "$.tenants[0].weight",
        "$.limits.headerTimeoutMs",
    }


def values_of(value, path=()):
    """Yield the paths of all values of a configuration."""
    yield path
    entries = value.items() if isinstance(value, dict) else ()
    entries = enumerate(value) if isinstance(value, list) else entries
    for key, each in entries:
        yield from values_of(each, (*path, key))


def test_what_the_decoder_refuses_is_always_an_error():
    """An operator would publish it, and the instances keep the version in force."""
    refused = 0
    for path in list(values_of(make_configuration(9)))[1:]:
        for value in (MISSING, None, -1, "x", [], {}, [7], True):
            configuration = changed(*path, value=value)
            try:
                decode_configuration(json.dumps(configuration).encode())
            except UnreadableError:
                refused += 1
                assert findings(configuration, Severity.ERROR), (path, value)
    assert refused > 200


def with_copy(entries, **changes):
    configuration = make_configuration(9)
    configuration[entries].append(deepcopy(configuration[entries][0]) | changes)
    return configuration


def warning_paths(configuration):
    assert not findings(configuration, Severity.ERROR)
    return [each.path for each in findings(configuration, Severity.WARNING)]


def test_a_route_hidden_by_an_equal_prefix_is_found():
    hidden = with_copy("routes", name="r-hidden", host="SHOP.example")
    assert warning_paths(hidden) == [f"$.routes[{len(hidden['routes']) - 1}]"]
    decoded = decode_configuration(json.dumps(hidden).encode())
    assert decoded.route("shop.example", "/advice/1").name == "r-advice"


def test_services_that_nothing_uses_are_found():
    assert warning_paths(with_copy("services", name="idle")) == ["$.services[2]"]
    assert warning_paths(with_copy("services")) == ["$.services[0]"]


def test_a_key_of_two_organisations_is_found_and_not_shown():
    configuration = with_copy("tenants", name="other")
    keys = configuration["tenants"][0]["apiKeys"]
    found = findings(configuration, Severity.WARNING)
    assert [each.path for each in found] == [
        f"$.tenants[0].apiKeys[{n}]" for n in range(len(keys))
    ]
    assert not any(key in str(each) for key in keys for each in found)
    decoded = decode_configuration(json.dumps(configuration).encode())
    assert decoded.organisation_by_key[keys[0]].name == "other"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("limits", "headerTimeoutMs"), 9_000_000),
        (("routes", 0, "sloMs"), 20_000),
        (("routes", 0, "kind"), "steam"),
    ],
)
def test_values_that_contradict_each_other_are_found(path, value):
    found = warning_paths(changed(*path, value=value))
    assert [each.rpartition(".")[2] for each in found] == [path[-1]]


def test_differences_from_the_configuration_in_force_are_shown_by_name():
    before, after = make_configuration(9), make_configuration(10)
    del after["routes"][0]
    after["routes"][1]["timeoutMs"] = 1_700
    after["tenants"][0]["apiKeys"] = ["secret-new"]
    report = check(after, before)
    assert report.findings == [] or {each.path for each in report.findings} == {
        "$.services[0]"
    }
    changes = {each.path: (each.before, each.after) for each in report.differences}
    tenant = before["tenants"][0]["name"]
    assert set(changes) == {
        "$.version",
        "$.routes.r-advice",
        "$.routes.r-look.timeoutMs",
        f"$.tenants.{tenant}.apiKeys",
    }
    assert changes["$.version"] == (9, 10)
    assert changes["$.routes.r-look.timeoutMs"] == (1_500, 1_700)
    assert "secret" not in str(report)


def test_a_version_that_is_not_newer_is_found():
    report = check(make_configuration(9), make_configuration(9))
    assert [each.path for each in report.findings] == ["$.version"]


@pytest.mark.parametrize(
    ("configuration", "code"),
    [
        (make_configuration(9), 0),
        (with_copy("services", name="idle"), 1),
        (changed("limits", value=MISSING), 2),
    ],
)
def test_the_exit_code_tells_the_worst_finding(tmp_path, configuration, code):
    path = tmp_path / "configuration.json"
    path.write_text(json.dumps(configuration))
    words = [COMMAND, "check-config", "--json", path]
    done = subprocess.run(words, capture_output=True, text=True, timeout=60)
    assert done.returncode == code, done.stderr
    assert len(json.loads(done.stdout)["findings"]) == min(1, code)


def test_a_file_that_cannot_be_read_is_an_error(tmp_path):
    words = [COMMAND, "check-config", tmp_path / "missing.json"]
    done = subprocess.run(words, capture_output=True, text=True, timeout=60)
    assert done.returncode == 2
    assert "can't be read" in done.stderr
