import json
from pathlib import Path

import pytest
from celeryfork_standin.deployment import load_deployment, make_deployment
from celeryfork_standin.errors import DeploymentFaultError

EXAMPLES = Path(__file__).parents[3] / "examples"


def values():
    return json.loads((EXAMPLES / "wanjiru.json").read_text())


def faults_of(changed):
    with pytest.raises(ExceptionGroup) as caught:
        make_deployment(changed)
    faults = caught.value.exceptions
    assert all(isinstance(fault, DeploymentFaultError) for fault in faults)
    assert all("Remedy: " in str(fault) for fault in faults)
    return {fault.path for fault in faults}


@pytest.mark.parametrize("name", ["wanjiru", "troskgille"])
def test_the_examples_have_the_sizes_of_the_brief(name):
    deployment = load_deployment(EXAMPLES / f"{name}.json")
    engines = list(deployment.engine_specs())
    assert len(engines) == len({engine.id for engine in engines}) == 40
    assert len(list(deployment.service_specs())) == 3
    assert len(deployment.entries) == 8
    assert len(deployment.callers) == 10
    assert {engine.domain for engine in engines} == set(deployment.domains)
    assert sum(caller.load_share for caller in deployment.callers) == pytest.approx(1)


def test_wrong_shapes_are_named_by_path():
    changed = values()
    changed["seed"] = "one"
    changed["engines"][0]["count"] = 0
    changed["typo"] = 1
    paths = faults_of(changed)
    assert {"$", "$.seed", "$.engines[0]"} == paths


def test_contradictions_are_named_all_at_once():
    changed = values()
    changed["engines"][0]["domains"] = ["mombasa"]
    changed["engines"][1]["accelerator"] = "k9"
    changed["engines"][2]["first_layer"] = 12
    changed["callers"][0]["key"] = "other"
    changed["models"][0]["layers"] = 37
    assert faults_of(changed) == {
        "$.engines[0].domains",
        "$.engines[1].accelerator",
        "$.engines[2].last_layer",
        "$.callers[0].key",
        "$.models[0]",
    }


def test_unreadable_files_are_faults(tmp_path):
    for content in (None, "{"):
        path = tmp_path / "deployment.json"
        if content is not None:
            path.write_text(content)
        with pytest.raises(ExceptionGroup) as caught:
            load_deployment(path)
        assert str(path) in str(caught.value.exceptions[0])
