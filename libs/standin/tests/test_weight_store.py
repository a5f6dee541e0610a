PATH = "/v1/weights/m/v1/reads"


def read(platform, helpers):
    return helpers.call(platform.url, "POST", PATH, {"engine": "rw-07"})


def test_reads_are_limited_by_the_budget(platform, helpers):
    platform.weights.set_size("m", "v1", 6e8)
    assert read(platform, helpers).json == {"bytes": 6e8, "seconds": 0.6}
    refused = read(platform, helpers)
    assert refused.status == 429
    assert float(refused.headers["Retry-After"]) > 0
    budget = helpers.call(platform.url, "GET", "/v1/weights/budget").json
    assert 0 < budget["available_bytes"] < budget["bytes_per_second"] == 1e9


def test_an_outage_grants_nothing(platform, helpers):
    platform.weights.outage(True)
    assert read(platform, helpers).status == 503
    assert helpers.call(platform.url, "GET", "/v1/weights/budget").status == 503
    assert platform.weights.reads == []


def test_malformed_reads_are_refused(platform, helpers):
    assert helpers.call(platform.url, "POST", PATH, {"who": 1}).status == 400
