"""A violation of a rule, as the soak's oracle reports it."""

from dataclasses import dataclass
from typing import Optional


@dataclass(slots=True, frozen=True)
class Finding:
    """One violation of a rule: the rule, the time, the request's id and what was observed.

    `stamped`: the time of a second event that the finding relies on, if there is one; `void`: the
    rig was late at one of the two times, so that the finding proves nothing.
    """

    rule: str
    at: float
    id: str
    text: str
    void: bool = False
    stamped: Optional[float] = None
