from celeryfork_standin.caches import KvCache, KvEntry


def entry(tokens):
    return KvEntry(0, 12, lambda: tokens)


def keep(cache, stream_id, tokens):
    used = entry(tokens)
    cache.hold(stream_id, used)
    cache.release(stream_id, used)


def test_the_oldest_goes_first_when_memory_is_full():
    cache = KvCache(most_tokens=100, kept_s=60)
    for stream_id in ("a", "b", "c"):
        keep(cache, stream_id, 40)
    found = [one for one in "abc" if cache.find(one, 0, 12) is not None]
    assert (found, cache.used_share()) == (["b", "c"], 0.8)


def test_what_is_in_use_stays():
    cache = KvCache(most_tokens=100, kept_s=60)
    cache.hold("running", entry(90))
    keep(cache, "ended", 40)
    assert cache.find("running", 0, 12) is not None
    assert cache.find("ended", 0, 12) is None


def test_an_entry_expires_and_covers_only_its_layers():
    cache = KvCache(most_tokens=100, kept_s=0)
    keep(cache, "a", 10)
    assert cache.find("a", 0, 12) is None
    cache.hold("b", entry(10))
    assert cache.find("b", 6, 13) is None
    assert cache.find("b", 6, 12) is not None


def test_an_older_attempt_does_not_release_the_newer_one():
    cache = KvCache(most_tokens=100, kept_s=60)
    older, newer = entry(10), entry(20)
    cache.hold("a", older)
    cache.hold("a", newer)
    cache.release("a", older)
    assert cache.find("a", 0, 12) is newer
