"""What several test files start from, and the list of failures that are known."""

from pathlib import Path

import pytest

from tests.harness import RelayHarness

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3


def known_red() -> dict[str, str]:
    """Test id -> its cause and issue, from KNOWN-RED.txt: a line each, `TEST: cause (issue N)`."""
    if not KNOWN_RED.exists():
        return {}
    lines = [
        line.split(": ", 1)
        for line in KNOWN_RED.read_text(encoding="utf-8").splitlines()
        if line.strip()
    ]
    if len(lines) > KNOWN_RED_LIMIT:
        raise pytest.UsageError(
            f"KNOWN-RED.txt lists {len(lines)} tests, {KNOWN_RED_LIMIT} at most"
        )
    return {test: reason for test, reason in lines}


def pytest_collection_modifyitems(items):
    """A listed test is a strict expected failure: it may neither pass nor be missing from its file."""
    listed = known_red()
    files = {item.nodeid.partition("::")[0] for item in items}
    for test, reason in listed.items():
        found = [item for item in items if item.nodeid.partition("[")[0] == test]
        if not found and test.partition("::")[0] in files:
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {test}")
        for item in found:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter):
    for test, reason in known_red().items():
        terminalreporter.write_line(f"KNOWN RED {test}: {reason}")


@pytest.fixture
def harness(tmp_path):
    """One relay on loopback sockets with its other parties, closed at the end."""
    made = RelayHarness(tmp_path)
    yield made
    made.close()
