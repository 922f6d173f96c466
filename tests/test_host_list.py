"""The list of hosts over a restart: which of the log's and the file's counts, what a bad record costs, how large it gets."""

import pytest

from molehill import interface
from molehill.core import events as ev
from molehill.core.host_list import HostRow, ToldList, restored
from tests.ledger import SECOND
from tests.test_core import bare_core, effects_of

HERE = "10.0.0.1:8500"


def row(name, status="active"):
    return HostRow(name, "10.1.0.18:8081", "a", "m", 3, status, 1.0)


def host(name, condition=interface.Condition.UP):
    return ev.Host(name, ("10.1.0.18", 8081), 0, 0, 1, condition, 1.0, "a", "m")


def told(version, *rows, source=HERE):
    made = ToldList()
    made.load({"version": version, "source": source, "rows": [list(one) for one in rows]})
    return made


def known(index, *rows):
    return {"index": index, "snapshot": True, "endpoints": [one.entry() for one in rows]}


@pytest.mark.parametrize(
    "version, index, source, wanted, watch_from",
    [
        (41, 41, HERE, {"h1": "leaving", "h2": "active"}, 41),  # the log is as new: it alone
        (42, 41, HERE, {"h1": "leaving", "h2": "active"}, 42),
        # the file may be newer: whom it does not name has left, who leaves by either leaves
        (41, 42, HERE, {"h1": "leaving", "h3": "active"}, None),
        # discovery has moved, or counts anew there: no version tells
        (41, 42, "10.0.0.2:8500", {"h1": "leaving", "h2": "active", "h3": "active"}, None),
        (42, 41, "10.0.0.2:8500", {"h1": "leaving", "h2": "active", "h3": "active"}, None),
    ],
)
@pytest.mark.parametrize("leaves_by", ["log", "file"])
def test_a_start_goes_by_the_newer_list_and_calls_nobody_who_leaves_by_either(
    version, index, source, wanted, watch_from, leaves_by
):
    mine = told(
        version, row("h1", "leaving" if leaves_by == "log" else "active"), row("h2"), source=source
    )
    file = known(index, row("h1", "leaving" if leaves_by == "file" else "active"), row("h3"))
    entries, watched = restored(mine, file, HERE)
    if watch_from is not None and leaves_by == "file":
        wanted = {**wanted, "h1": "active"}  # told of its return since
    assert {entry["name"]: entry["status"] for entry in entries} == wanted
    assert watched == watch_from


@pytest.mark.parametrize("mine", [None, ToldList()])
def test_a_log_that_tells_of_no_list_leaves_the_file_s_as_it_is(mine):
    file = known(41, row("h1", "leaving"))
    assert restored(mine, file, HERE) == (file["endpoints"], 41)
    for spoilt in ({"endpoints": "none"}, [], {"index": [1]}):
        with pytest.raises(ValueError, match="known"):
            restored(mine, spoilt, HERE)
        assert [e["name"] for e in restored(told(7, row("h2")), spoilt, HERE).entries] == ["h2"]


@pytest.mark.parametrize(
    "spoilt",
    [
        {"rows": [["h9"]]},
        {"rows": None},
        {"version": "x"},
        {"rows": [row("h9")], "source": None, "version": {}},
    ],
)
def test_a_record_that_can_t_be_read_costs_itself_alone(spoilt):
    mine = told(41, row("h1"))
    with pytest.raises((KeyError, TypeError, ValueError)):
        mine.load({"version": 42, "source": HERE, "rows": [list(row("h9"))], **spoilt})
    assert (mine.version, list(mine.rows)) == (41, ["h1"])


def test_what_is_told_is_logged_first_only_as_it_changes_and_read_again_the_same():
    core, now = bare_core(), 1001 * SECOND
    whole = ev.Listed(interface.ListScope.WHOLE, [host("h1"), host("h2"), host("h3")], 7, HERE)
    first, *_ = effects_of(core, now, whole)
    assert first.record["k"] == "list" and len(first.record["rows"]) >= 3
    drained = [host("h2", interface.Condition.DRAINING), host("h3", interface.Condition.GONE)]
    second, *_ = effects_of(core, now, ev.Listed(interface.ListScope.UPDATE, drained, 8, HERE))
    assert [one.status for one in second.record["rows"]] == ["leaving", "left"]
    again = effects_of(core, now, ev.Listed(interface.ListScope.UPDATE, drained, 9, HERE))
    assert not [effect for effect in again if type(effect) is ev.Append]
    gone = effects_of(core, now, ev.Listed(interface.ListScope.WHOLE, [host("h1")], 10, HERE))
    assert [one[:1] + (one.status,) for one in gone[0].record["rows"]] == [("h2", "left")]
    next_core = bare_core()
    next_core.told = ToldList()
    next_core.recovery.loaders["list"] = next_core.told.load
    for record, body in core.snapshot():
        next_core.load(record, body)
    assert next_core.told == core.told and list(core.told.rows) == ["h1"]


def test_a_list_of_the_largest_size_takes_its_room_from_what_may_be_held():
    core, now = bare_core(), 1001 * SECOND
    hosts = [host(f"s-{n:08x}") for n in range(3200)]
    record = effects_of(core, now, ev.Listed(interface.ListScope.WHOLE, hosts, 7, HERE))[0].record
    assert len(record["rows"]) == 3200 and core.told.room <= 3200 * 100
    core.log_room = core.told.room + 100
    effects = effects_of(
        core, now, ev.Arrived("c", ev.Fresh("a", 0, 0, None, 1, now + SECOND, None, b"x" * 200))
    )
    assert [effect.status for effect in effects] == [503]


def test_an_entry_of_the_file_with_a_name_that_is_no_text_keeps_no_relay_from_its_start():
    odd = {**row("h3").entry(), "name": ["h3"]}
    file = {"index": 50, "snapshot": True, "endpoints": [odd, row("h1").entry()]}
    entries, _ = restored(told(41, row("h1", "leaving")), file, HERE)
    assert {str(entry["name"]): entry["status"] for entry in entries}["h1"] == "leaving"
