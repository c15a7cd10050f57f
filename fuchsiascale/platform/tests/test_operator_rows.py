"""Tests of decoding the rows that the operator and the workers write."""

import logbook
import msgspec

from fuchsiascale.jobs import QueueIndex, RowKey, StoredRow
from fuchsiascale.platform.user_platform import (
    decode_configuration,
    decode_evacuation,
    decode_warm_worker,
    decode_worker,
    make_evacuation_listing,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

ENTRY = {
    "service": "pool",
    "address": "10.0.0.9:80",
    "zone": "a",
    "version": "v1",
    "slot_count": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "clock_ms": 5,
    "sequence": 4,
    "born": 12,
}

# name, changed fields; None removes the field
MALFORMED_ENTRIES = (
    ("no service", {"service": None}),
    ("no address", {"address": None}),
    ("no capacity", {"capacity": None}),
    ("an address without a port", {"address": "10.0.0.9"}),
    ("a state that is not known", {"state": "resting"}),
    ("a number in place of a text", {"service": 7}),
    ("a text in place of a number", {"capacity": {"cpu": "many"}}),
    ("labels of another type", {"labels": "a"}),
    ("a port out of range", {"address": "10.0.0.9:65536"}),
    ("port 0", {"address": "10.0.0.9:0"}),
    ("a negative port", {"address": "10.0.0.9:-1"}),
    ("a port of other digits", {"address": "10.0.0.9:\uff18\uff10"}),
    ("an empty port", {"address": "10.0.0.9:"}),
    ("an empty host", {"address": ":80"}),
    ("a host with an empty label", {"address": "a..b:80"}),
    ("a long host", {"address": f"{'a' * 300}:80"}),
    ("a host to look up", {"address": "worker.example:80"}),
    ("a path in the address", {"address": "10.0.0.9/x:80"}),
    ("a line break in the address", {"address": "10.0.0.9\n:80"}),
    ("a number too large", {"born": 2**64 - 1}),
    ("a capacity too large", {"capacity": {"cpu": 2**60, "mem_mb": 1}}),
    ("a negative capacity", {"capacity": {"cpu": -1, "mem_mb": 1}}),
    ("a remaining time too large", {"remaining_ms": 2**60}),
)
DEPTH = 100_000
# field with a value, and the text that takes the value's place
RAW_REPLACEMENTS = (
    (b'"born":12', b'"born":' + b"9" * 400),
    (b'"born":12', b'"born":' + b"9" * 5_000),
    (b'"born":12', b'"born":1e400'),
    (b'"sequence":4', b'"other":' + b"[" * DEPTH + b"]" * DEPTH),
    (b'"sequence":4', b'"other":' + b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    (b'["a","r1-3"]', b"[" * DEPTH + b"]" * DEPTH),
    (b'"zone":"a"', b'"zone":"\\ud800"'),
)


def row(value, key="i-1"):
    raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return StoredRow(RowKey("servers", "", key), raw, 3)


def test_a_worker_is_decoded_with_its_capacity():
    worker = decode_worker(row(ENTRY))
    assert (worker.worker, worker.service, worker.incarnation) == ("i-1", "pool", 12)
    assert worker.capacity.cpu_millis == 16_000
    assert worker.capacity.accelerators == 1
    assert not worker.draining


def test_a_draining_worker_has_its_remaining_time():
    entry = {**ENTRY, "state": "draining", "remaining_ms": 2_500}
    worker = decode_worker(row(entry))
    assert worker.draining
    assert worker.remaining_ms == 2_500


def test_a_malformed_entry_is_no_worker():
    for name, changes in MALFORMED_ENTRIES:
        entry = {**ENTRY, **changes}
        entry = {key: value for key, value in entry.items() if value is not None}
        assert decode_worker(row(entry)) is None, name
    assert decode_worker(row(b"\xff\x00")) is None
    for old, new in RAW_REPLACEMENTS:
        raw = msgspec.json.encode(ENTRY)
        assert old in raw
        assert decode_worker(row(raw.replace(old, new))) is None, new[:20]


def test_an_entry_under_a_key_that_no_header_can_carry_is_no_worker():
    for key in ("i-1\r\nx: y", "i-\u00e9", " i-1", "i-1\x00"):
        assert decode_worker(row(ENTRY, key)) is None, key
    assert decode_worker(row(ENTRY, "i-1")) is not None


def test_a_configuration_that_is_nested_too_deeply_is_ignored():
    config = b'{"version":7,"other":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
    assert decode_configuration(config) is None


def test_a_configuration_is_decoded_with_its_queues():
    route = {
        "name": "r1",
        "host": "a.example",
        "prefix": "/x/",
        "kind": "non_idempotent",
        "service": "pool",
        "target_duration_ms": 400,
        "priority": 2,
        "max_attempts": 3,
        "stretch": 1.5,
    }
    longer = {**route, "name": "r2", "prefix": "/x/y/", "advice": {"decide_ms": 5}}
    services = [{"name": "pool", "rejects_overload": True}]
    config = {"version": 7, "routes": [route, longer], "services": services}
    configuration = decode_configuration(msgspec.json.encode(config))
    index = QueueIndex(configuration)
    assert configuration.version == 7
    assert index.find("A.example", "/x/1").policy.queue == "r1"
    assert index.find("a.example", "/x/y/1").policy.queue == "r2"
    assert index.find("a.example", "/x/y/1").policy.advice
    assert index.find("a.example", "/x/1").policy.max_attempts == 3
    assert index.find("b.example", "/x/1") is None


def test_an_unreadable_configuration_is_none():
    assert decode_configuration(b"{") is None
    assert decode_configuration(b'{"version":"seven"}') is None


def make_evacuation(key, value=b"{}"):
    return StoredRow(RowKey("op", "", key), value, 3)


MALFORMED_EVACUATIONS = (
    ("no value", b""),
    ("no JSON", b"{"),
    ("bytes of no text", b"\xff\x00"),
    ("a list", b"[]"),
    ("a text", b'"a"'),
    ("a number", b"7"),
    ("null", b"null"),
    ("a nesting that can't be decoded", b'{"a":' + b"[" * DEPTH + b"]" * DEPTH + b"}"),
)


def test_an_evacuation_is_decoded_to_its_domain():
    for value in (b"{}", b'{"by":"x","until":[1]}'):
        assert decode_evacuation(make_evacuation("evacuate/south", value)) == "south"
    assert decode_evacuation(make_evacuation("evacuate/a/b")) == "a/b"


def test_a_malformed_evacuation_names_no_domain_and_writes_one_line():
    rows = [
        make_evacuation("evacuate/south", value) for _, value in MALFORMED_EVACUATIONS
    ]
    rows += [make_evacuation("evacuate/"), make_evacuation("config")]
    for row in rows:
        with logbook.TestHandler() as handler:
            assert decode_evacuation(row) is None, row
        assert len(handler.records) == 1, row


def test_a_line_about_a_malformed_evacuation_is_bounded():
    row = make_evacuation("evacuate/" + "s" * 60_000, b"{")
    with logbook.TestHandler() as handler:
        assert decode_evacuation(row) is None
    assert len(str(handler.records[0].extra)) < 1_000


def test_the_range_of_evacuations_has_all_their_keys_and_no_others():
    listing = make_evacuation_listing(5.0)
    for key in ("evacuate/", "evacuate/a", "evacuate/\U0010ffff"):
        assert listing.first_key <= key < listing.last_key, key
    for key in ("config", "evacuate", "evacuate0", "evacuated/a"):
        assert not listing.first_key <= key < listing.last_key, key


def test_the_time_that_a_worker_stays_cold_is_decoded():
    for value, expected in ((1_500, 1_500), (1_500.7, 1_500), (0, 0)):
        worker = decode_worker(row({**ENTRY, "cold_left_ms": value}))
        assert worker.cold_left_ms == expected
    without = {key: value for key, value in ENTRY.items() if key != "cold_left_ms"}
    assert decode_worker(row(without)).cold_left_ms == 0


def test_a_worker_with_a_malformed_cold_time_is_used_as_a_warm_one():
    # Entries with such a value were usable before the field was decoded.
    for value in (-1, "long", None, [], {"a": 1}, True):
        worker = decode_worker(row({**ENTRY, "cold_left_ms": value}))
        assert worker is not None, value
        assert worker.cold_left_ms == 0, value
    raw = msgspec.json.encode(ENTRY)
    for value in (b"1e400", b"9" * 400):
        changed = raw.replace(b'"cold_left_ms":0', b'"cold_left_ms":' + value)
        assert decode_worker(row(changed)) is not None, value


def test_a_worker_counts_as_warm_where_the_part_is_off():
    cold = row({**ENTRY, "cold_left_ms": 1_500})
    warm = decode_warm_worker(cold)
    assert warm == decode_worker(row(ENTRY))
    assert decode_warm_worker(row(b"{")) is None
