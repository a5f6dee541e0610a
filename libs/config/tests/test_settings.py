"""Tests of celeryfork_config.settings, .structuring and .schema."""

from pathlib import Path

import orjson
import pytest
from celeryfork_config.settings import Settings as Settings
from celeryfork_config.settings import (
    load_settings_with_sources,
    option_paths,
    settings_schema,
)
from jsonschema import Draft202012Validator

EXAMPLE = Path(__file__).parent / "settings-example.json"


def faults_by_path(path, environment=None) -> dict[str, str]:
    with pytest.raises(ExceptionGroup) as caught:
        load_settings_with_sources(path, environment or {})
    return {error.path: str(error) for error in caught.value.exceptions}


def write(tmp_path, **changes):
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({**orjson.loads(EXAMPLE.read_bytes()), **changes}))
    return path


def test_the_example_is_read_and_fits_the_schema() -> None:
    loaded = load_settings_with_sources(EXAMPLE, {})
    assert loaded.settings.instance == "westlands-1"
    assert loaded.settings.stop.notice_s == 2.0
    assert loaded.settings.peers == ("127.0.0.1:8181", "127.0.0.1:8281")
    schema = settings_schema()
    Draft202012Validator.check_schema(schema)
    Draft202012Validator(schema).validate(orjson.loads(EXAMPLE.read_bytes()))


def test_the_environment_overrides_the_file_and_sources_are_known() -> None:
    environment = {
        "CELERYFORK_PLATFORM_LOG_URL": "http://10.0.0.9",
        "CELERYFORK_HTTP_PORT": "9090",
        "CELERYFORK_PEERS": '["10.0.0.1:1"]',
        "CELERYFORK_ADMINISTRATOR_KEY_SHA256": "null",
        "CELERYFORK_ADMINISTRATOR_KEY": "for the command line only",
        "PATH": "/bin",
    }
    loaded = load_settings_with_sources(EXAMPLE, environment)
    assert loaded.settings.platform.log_url == "http://10.0.0.9"
    assert loaded.settings.http_port == 9090
    assert loaded.settings.peers == ("10.0.0.1:1",)
    assert loaded.settings.administrator_key_sha256 is None
    shown = loaded.explain()
    assert shown["http_port"] == {"value": 9090, "source": "CELERYFORK_HTTP_PORT"}
    assert shown["domain"] == {"value": "westlands", "source": "file"}
    assert shown["heartbeat_s"] == {"value": 1.0, "source": "default"}
    assert shown["ticket_secret"] == {"value": "(hidden)", "source": "file"}
    assert set(shown) == {path for path, _ in option_paths(Settings)}


def test_a_hash_of_digits_alone_in_the_environment_stays_a_text() -> None:
    environment = {"CELERYFORK_ADMINISTRATOR_KEY_SHA256": "1" * 64}
    loaded = load_settings_with_sources(EXAMPLE, environment)
    assert loaded.settings.administrator_key_sha256 == "1" * 64


def test_every_fault_is_reported_at_once_with_path_and_remedy(tmp_path) -> None:
    path = write(
        tmp_path,
        instance="A B",
        domain=5,
        platform={"log_url": "x", "instances_url": "http://a", "wights_url": 1},
        http_port="8080",
        peer_port=70000,
        peers=["1.2.3.4:5", "bad"],
        stop={"notice_s": True},
        ticket_secret="short",
        colour="red",
    )
    faults = faults_by_path(path)
    assert set(faults) == {
        "$.instance",
        "$.domain",
        "$.platform.log_url",
        "$.platform.weights_url",
        "$.platform.wights_url",
        "$.http_port",
        "$.peer_port",
        "$.peers[1]",
        "$.stop.notice_s",
        "$.ticket_secret",
        "$.colour",
    }
    assert all("Remedy: " in text for text in faults.values())
    assert "short" not in faults["$.ticket_secret"], "a secret must not be shown"


def test_faults_between_two_options_are_found(tmp_path) -> None:
    path = write(tmp_path, stop={"notice_s": 30, "most_stop_s": 30}, peer_port=8080)
    assert set(faults_by_path(path)) == {"$.stop.notice_s", "$.peer_port"}


@pytest.mark.parametrize("text", ["", "{", "[]", "3", '"x"'])
def test_a_file_that_holds_no_object_is_one_clear_fault(tmp_path, text) -> None:
    path = tmp_path / "settings.json"
    path.write_text(text)
    assert list(faults_by_path(path)) == ["$"]


def test_a_missing_file_and_an_unknown_variable_are_clear_faults(tmp_path) -> None:
    assert "check the path" in faults_by_path(tmp_path / "none.json")["$"]
    environment = {"CELERYFORK_HTP_PORT": "1", "CELERYFORK_PEER_PORT": "-1"}
    faults = faults_by_path(EXAMPLE, environment)
    assert set(faults) == {"$CELERYFORK_HTP_PORT", "$.peer_port"}
