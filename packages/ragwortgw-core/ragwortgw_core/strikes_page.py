"""The stored crashes of backend servers, shared by all entries."""

from typing import Any, NamedTuple, TypedDict


from ragwortgw_core import events
from ragwortgw_core import group_commit
from ragwortgw_core import page_codec

CRASH_TTL_MS = 600_000
MAX_CRASHES = 256
MAX_FINGERPRINTS = 128


class CrashLine(TypedDict):
    """One crash; members is 0 when not all that ran is known."""

    at_ms: int
    fingerprints: list[str]
    members: int


class Content(TypedDict):
    """The crashes of the last minutes by id."""

    crashes_by_id: dict[str, CrashLine]


class AddCrash(NamedTuple):
    """Adds a crash, or what another observer saw of it."""

    crash_id: str
    at_ms: int
    fingerprints: frozenset[str]
    members: int


def new_content() -> Content:
    """Makes the content of a value that does not exist yet."""
    return Content(crashes_by_id={})


class Codec(page_codec.PageCodec):
    """Reads, writes and changes the shared value."""

    def __init__(self) -> None:
        super().__init__(Content, new_content)

    def apply(
        self, stamp: events.Stamp, content: Content, operation: Any
    ) -> group_commit.ApplyResult:
        """Adds a crash in place and drops old ones."""
        add: AddCrash = operation
        crashes_by_id = content['crashes_by_id']
        _expire(stamp, crashes_by_id)
        held = crashes_by_id.get(add.crash_id)
        fingerprints = set(held['fingerprints']) if held else set()
        members = max(held['members'] if held else 0, add.members)
        merged = sorted(fingerprints | add.fingerprints)[:MAX_FINGERPRINTS]
        line = CrashLine(
            at_ms=held['at_ms'] if held else add.at_ms,
            fingerprints=merged,
            members=members,
        )
        if line == held:
            return group_commit.ApplyResult(False, None)
        crashes_by_id[add.crash_id] = line
        return group_commit.ApplyResult(True, None)


def _expire(stamp: events.Stamp, crashes_by_id: dict[str, CrashLine]) -> None:
    for crash_id, line in list(crashes_by_id.items()):
        if stamp.now_ms - line['at_ms'] > CRASH_TTL_MS:
            del crashes_by_id[crash_id]
    while len(crashes_by_id) >= MAX_CRASHES:
        del crashes_by_id[next(iter(crashes_by_id))]
