"""Shared fixtures, and the handling of known failures (KNOWN-RED.txt)."""

from pathlib import Path

import pytest

from tests.harness import RelayHarness

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Reads KNOWN-RED.txt, with a line `TEST: cause (issue N)` for each test.

    Returns test id -> cause and issue.
    """
    if not KNOWN_RED.exists():
        return {}
    lines = [
        line.split(": ", 1)
        for line in KNOWN_RED.read_text(encoding="utf-8").splitlines()
        if line.strip()
    ]
    return {test: reason for test, reason in lines}


def pytest_collection_modifyitems(items):
    """Marks listed tests as strict expected failures.

    A listed test that passes is a failure, and one that its file does not have is a usage error.
    """
    listed = known_red()
    files = {item.nodeid.partition("::")[0] for item in items}
    for test, reason in listed.items():
        found = [item for item in items if item.nodeid.partition("[")[0] == test]
        if not found and test.partition("::")[0] in files:
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {test}")
        for item in found:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter):
    """Prints the listed tests after each run."""
    for test, reason in known_red().items():
        terminalreporter.write_line(f"KNOWN RED {test}: {reason}")


@pytest.fixture
def harness(tmp_path):
    """One relay on loopback sockets with its peers, closed at the end."""
    made = RelayHarness(tmp_path)
    yield made
    made.close()
