"""The stored crashes of backend servers, one value for all entries.

group_commit writes the value by compare-and-swap; the codec merges what
several entries saw of the same crash.
"""

from typing import Any, NamedTuple, TypedDict

from ragwortgw_core import events
from ragwortgw_core import group_commit
from ragwortgw_core import page_codec

#: Older crashes are dropped from the value.
CRASH_TTL_MS = 600_000
MAX_CRASHES = 256
MAX_FINGERPRINTS = 128


class CrashLine(TypedDict):
    """One crash.

    members is the number of all fingerprints that ran; 0 if unknown.
    """

    at_ms: int
    fingerprints: list[str]
    members: int


class Content(TypedDict):
    """The decoded value: recent crashes by id."""

    crashes_by_id: dict[str, CrashLine]


class AddCrash(NamedTuple):
    """Operation: adds a crash, or another observer's view of it."""

    crash_id: str
    at_ms: int
    fingerprints: frozenset[str]
    members: int


def new_content() -> Content:
    """Builds the content of a value that does not exist yet."""
    return Content(crashes_by_id={})


class Codec(page_codec.PageCodec):
    """Decodes, encodes and changes the stored crashes."""

    def __init__(self) -> None:
        super().__init__(Content, new_content)

    def apply(
        self, stamp: events.Stamp, content: Content, operation: Any
    ) -> group_commit.ApplyResult:
        """Adds or merges a crash in place and drops expired ones."""
        add: AddCrash = operation
        crashes_by_id = content['crashes_by_id']
        _expire(stamp, crashes_by_id)
        held = crashes_by_id.get(add.crash_id)
        fingerprints = set(held['fingerprints']) if held else set()
        members = max(held['members'] if held else 0, add.members)
        merged = sorted(fingerprints | add.fingerprints)[:MAX_FINGERPRINTS]
        record = CrashLine(
            at_ms=held['at_ms'] if held else add.at_ms,
            fingerprints=merged,
            members=members,
        )
        if record == held:
            return group_commit.ApplyResult(False, None)
        crashes_by_id[add.crash_id] = record
        return group_commit.ApplyResult(True, None)


def _expire(stamp: events.Stamp, crashes_by_id: dict[str, CrashLine]) -> None:
    for crash_id, record in list(crashes_by_id.items()):
        if stamp.now_ms - record['at_ms'] > CRASH_TTL_MS:
            del crashes_by_id[crash_id]
    while len(crashes_by_id) >= MAX_CRASHES:
        del crashes_by_id[next(iter(crashes_by_id))]
