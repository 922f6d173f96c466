"""Which hosts give each call another answer, so that a copy of an answer can be told from others.

Only the first answer on a connection counts here: it can't be a copy of an earlier one.
"""

import zlib
from dataclasses import dataclass
from typing import Optional

MAX_HOSTS = 4096  # whose answers are remembered


def body_digest(body: bytes) -> int:
    """Returns a number that tells bodies apart."""
    return len(body) << 32 | zlib.crc32(body)


@dataclass(slots=True)
class HostAnswers:
    """The digest of a host's latest body, and whether it differs from the one before.

    Each is None as long as it is not known.
    """

    latest_digest: Optional[int] = None
    is_varied: Optional[bool] = None


class AnswerVariety:
    """Compares the bodies of each host's answers with 200.

    A host with a single answer so far is taken to be like the others: as varied as any host is.
    """

    def __init__(self) -> None:
        self.hosts: dict[str, HostAnswers] = {}
        self.any_is_varied = False

    def add_first_answer(self, host: str, body: bytes) -> None:
        """Adds the body of the first answer on a connection to a host."""
        digest, answers = body_digest(body), self._answers_of(host)
        if answers.latest_digest is not None:
            answers.is_varied = answers.latest_digest != digest
            self.any_is_varied = self.any_is_varied or answers.is_varied
        answers.latest_digest = digest

    def _answers_of(self, host: str) -> HostAnswers:
        """Returns what is known of a host; the one that was looked at longest ago makes room."""
        answers = self.hosts.pop(host, None) or HostAnswers()
        if len(self.hosts) >= MAX_HOSTS:
            del self.hosts[next(iter(self.hosts))]
        self.hosts[host] = answers
        return answers

    def restore_varied(self, host: str) -> None:
        """Restores that an earlier process has seen a host's answers differ."""
        self._answers_of(host).is_varied = True

    def mark_alike(self, host: str) -> None:
        """Takes a host's answers for alike, until two first answers differ."""
        self._answers_of(host).is_varied = False

    def is_varied(self, host: str) -> bool:
        """Returns whether a copy of a host's answer can be told from its other answers."""
        answers = self.hosts.get(host)
        if answers is None or answers.is_varied is None:
            return self.any_is_varied
        return answers.is_varied
