"""Fixture of trials that run with a model and without one."""

import pytest
from stream_trial import PLAIN_SERVICE, SERVICE, Trial


@pytest.fixture(params=[SERVICE, PLAIN_SERVICE], ids=["model", "plain"])
def each_service(request, monkeypatch):
    """Run a test with streams of a service with a model, and of one without."""
    monkeypatch.setattr(Trial, "service", request.param)
