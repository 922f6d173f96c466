"""Tests that the relay's configuration reader understands the deployments in deploy/sites.

The resulting settings have to say what each site file says.
"""

import tomllib
from pathlib import Path

import pytest

from molehill import config, interface
from tests.core_harness import MS, net_config_fields

SITES = sorted(Path(__file__).parent.parent.glob("deploy/sites/*.toml"))
EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}


def settings_of(site):
    """Returns the settings that an instance of this site receives; of a range, its lower end."""
    tier, fam, allow = site["tier"][0], site["fam"], site["allow"]
    return {
        "grades": [
            {
                "name": c["name"],
                "semantics": EFFECTS[c["effect"]],
                "aimMs": c["aim_ms"],
                "deadlineMs": c["deadline_ms"],
                "worth": c["worth"],
                "lateShare": c["late_worth"],
                "dedupScope": c.get("group"),
                "dedupWindowMs": c.get("window_ms"),
                "serialByKey": c.get("in_order", False),
            }
            for c in site["class"]
        ],
        "parties": [
            {"name": t["name"], "share": t["share"], "quotaPerS": 10 * t["share"]}
            for t in site.get("tenant", [])
        ],
        "machineTypes": [kind["name"] for kind in tier["kind"]],
        "azs": site["net"]["zones"],
        "extra": {
            "perCall": [kind.get("batch", 1) for kind in fam["kind"]],
            "maxCalls": fam["least_slots"],
            "fades": {"halves": "halving"}.get(fam["late"], "linear"),
        },
        "allowed": {
            "maxAttempts": allow["max_attempts"],
            "retryAfter": allow["retry_after"],
            "maxRetryAfterMs": site["clients"]["max_retry_after_ms"],
            "connIdleMs": 1000 * tier["conn"]["idle_s"],
            "connectTimeoutMs": tier["conn"]["connect_timeout_ms"],
            "maxOpen": fam["least_open"],
        },
        "guarantees": {
            "fallMs": site["rules"]["fall_ms"],
            "tipMultiple": site["rules"]["fall_multiple"],
            "settleAfterDoubtMs": site["rules"].get("order_settle_ms", 0),
        },
        "discovery": {"ask": "on_request"}.get(site["discovery"]["mode"], "pushed"),
        "weightSource": tier["weights"],
        "telemetry": {
            "how": {"answers": "piggyback"}.get(tier["report"]["how"], "silent"),
            "fields": tier["report"].get("fields", []),
        },
    }


def test_sites_cover_both_values_of_each_option():
    sites = [tomllib.loads(path.read_text()) for path in SITES]
    assert (
        [site["name"] for site in sites]
        == [path.stem for path in SITES]
        == ["harbour-alerts", "ledger-transfer"]
    )
    assert {site["discovery"]["mode"] for site in sites} == {"push", "ask"} and {
        site["allow"]["retry_after"] for site in sites
    } == {True, False}
    assert {any(kind.get("batch", 1) > 1 for kind in site["fam"]["kind"]) for site in sites} == {
        True,
        False,
    }
    assert {kind["tells_wait"] for site in sites for kind in site["fam"]["kind"]} == {0, 1}


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_site_settings_match_site_file(path):
    site = tomllib.loads(path.read_text())
    given = settings_of(site)
    made = config.parse_config(net_config_fields(settings=given), {})
    rows = made.settings.callback_classes
    assert list(made.callback_classes) == [c["name"] for c in site["class"]] and list(
        made.tenants
    ) == [t["name"] for t in site["tenant"]]
    for row, c in zip(rows, site["class"]):
        assert (row.time_limit, row.target_latency, row.deduplication_window) == (
            c["deadline_ms"] * MS,
            c["aim_ms"] * MS,
            c.get("window_ms", 0) * MS,
        )
        assert row.semantics is config.EFFECTS[EFFECTS[c["effect"]]] and row.ordered is c.get(
            "in_order", False
        )
        assert row.deduplicated_everywhere is (
            row.semantics is interface.DeliverySemantics.DEDUPLICATED
        )
    assert len(set(row.semantics for row in rows)) == 3, "all semantics occur"
    assert [kind.callbacks_per_call for kind in made.settings.kinds] == [
        kind.get("batch", 1) for kind in site["fam"]["kind"]
    ]
    assert made.settings.value_halves is (
        site["fam"]["late"] == "halves"
    ) and made.settings.limits_are_advertised is ("fields" in site["tier"][0]["report"])
    broken = {
        **given,
        "grades": [*given["grades"][:-1], {**given["grades"][-1], "semantics": "perhaps"}],
    }
    with pytest.raises(config.ConfigError, match=rf"settings\.grades\.{len(rows) - 1}\.semantics"):
        config.parse_config(net_config_fields(settings=broken), {})
