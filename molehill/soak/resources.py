"""Looks at what the relay's process holds: memory, file descriptors and disk."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Iterator, Optional

DISK_BLOCK = 512  # bytes; files are counted in whole blocks


@dataclass(slots=True, frozen=True)
class ResourceUse:
    """What a process holds: bytes of memory and disk, and file descriptors."""

    memory: int
    descriptors: int
    disk: int

    @classmethod
    def of_process(cls, pid: int, folder: Path) -> Optional["ResourceUse"]:
        """Returns what the process holds, or None if it has ended; `folder`: its state."""
        try:
            status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
            memory = int(status.partition("VmRSS:")[2].split()[0]) * 1024
            descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        except (OSError, IndexError):
            return None
        return cls(memory, descriptors, folder_size(folder))


def run_delay(pid: int) -> Optional[float]:
    """Returns the seconds for which a process has waited for a processor core so far.

    Returns None if it has ended, or if the kernel doesn't tell.
    """
    try:
        fields = Path(f"/proc/{pid}/schedstat").read_text(encoding="ascii").split()
        return int(fields[1]) / 1e9
    except (OSError, IndexError):
        return None


def folder_size(folder: Path) -> int:
    """Returns the bytes that the files of a folder take up in whole blocks."""
    size = 0
    for path in folder.glob("*"):
        try:
            size += -(-path.stat().st_size // DISK_BLOCK) * DISK_BLOCK
        except OSError:
            continue  # renamed or removed meanwhile
    return size


def resources_over_limit(
    use: Optional[ResourceUse], limits: dict[str, int]
) -> Iterator[tuple[str, int, int]]:
    """Yields each resource of which more is held than allowed, with its use and its limit.

    `limits`: as in the relay's configuration file.
    """
    if use is None:
        return
    rows = (
        ("memory", use.memory, limits["memory_mb"] * 1_000_000),
        ("descriptors", use.descriptors, limits["sockets"]),
        ("disk", use.disk, limits["disk_mb"] * 1_000_000),
    )
    for resource, used, limit in rows:
        if used > limit:
            yield resource, used, limit
