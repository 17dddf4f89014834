"""Quarantines requests that crash backend servers.

When a backend server crashes, all requests that ran on it are suspects and
get a strike each. Comparing crashes separates the request that causes them
from those that merely ran beside it. Strikes are broadcast to all processes
and stored in the platform service.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import group_commit
from ragwortgw_core import notices
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import strikes_page

OWNER = 'strikes'
STRIKES_KEY = 'strikes'
#: How long a crash counts, and how long a blocked request is refused.
CRASH_TTL_MS = 600_000
MAX_CRASHES = 256
#: Broken attempts whose crash is remembered.
MAX_BROKEN_ATTEMPTS = 1_024
#: Crashes after which a request is refused, whatever ran beside it.
MAX_STRIKES = 3
READ_INTERVAL_MS = 30_000
CALL_TIMEOUT_MS = 2_000


class ReadTag(NamedTuple):
    """Identifies the read of the stored crashes."""


class BrokenAttempt(NamedTuple):
    """The crash that broke an attempt.

    Args:
      crash_id: Id of the crash; the same for all attempts that it broke.
      outputs: Notices and effects; empty after the first attempt.
    """

    crash_id: str
    outputs: list[Any]


class Crash(NamedTuple):
    """One crash of a backend server and the fingerprints known to have run.

    members is the number of all fingerprints that ran; 0 if unknown.
    """

    crash_id: str
    at_ms: int
    fingerprints: frozenset[str]
    members: int

    def ran_single_request(self) -> bool:
        """Returns whether exactly one request is known to have run."""
        return self.members == 1


class StrikeTracker:
    """Tracks, for each request fingerprint, the crashes it was part of.

    After one crash all fingerprints that ran are suspects, and a suspect
    runs alone the next time. A request is refused after two crashes if
    one of them hit it alone or if it is the only fingerprint in both, and
    in any case after three crashes. It therefore crashes two backend
    servers, plus one for each execution that started before the notice
    of an earlier crash arrived. A suspect that succeeds when run alone is
    cleared.

    Args:
      calls: Makes the platform calls; None in an agent.
    """

    def __init__(
        self, calls: platform_calls.PlatformCalls | None = None
    ) -> None:
        self._calls = calls
        self._crashes_by_id: dict[str, Crash] = {}
        self._cleared_at_ms: dict[str, int] = {}
        self._running_by_backend: dict[str, dict[str, str]] = {}
        self._crash_ids_by_attempt: dict[str, str] = {}
        self._next_read_at_ms = 0
        self._pages: group_commit.GroupCommitter | None = None
        if calls is not None:
            codec = strikes_page.Codec()
            self._pages = group_commit.GroupCommitter(calls, OWNER, codec)
            calls.register(OWNER, self)
            calls.restores.register(self)

    def attempt_started(
        self, backend: str, attempt_id: str, fingerprint: str
    ) -> None:
        """Records that an attempt started on a backend server."""
        running = self._running_by_backend.setdefault(backend, {})
        running[attempt_id] = fingerprint

    def attempt_ended(
        self,
        backend: str,
        attempt_id: str,
        stamp: events.Stamp | None = None,
        cleared: bool = False,
    ) -> None:
        """Records that an attempt no longer runs.

        Args:
          backend: The backend server.
          attempt_id: The attempt.
          stamp: Time and randomness; required if cleared is set.
          cleared: Whether it ran alone and succeeded.
        """
        running = self._running_by_backend.get(backend, {})
        fingerprint = running.pop(attempt_id, None)
        if not running:
            self._running_by_backend.pop(backend, None)
        if cleared and fingerprint and stamp:
            if self.strike_count(fingerprint, stamp):
                self._cleared_at_ms[fingerprint] = stamp.now_ms

    def running_fingerprints(self, backend: str) -> frozenset[str]:
        """Returns the fingerprints now running on a backend server."""
        running = self._running_by_backend.get(backend, {})
        return frozenset(running.values())

    def attempt_broke(
        self, stamp: events.Stamp, backend: str, attempt_id: str
    ) -> BrokenAttempt:
        """Records, in an agent, that a crash broke an attempt.

        The first broken attempt gives the crash its id and a strike to
        all that ran. The others belong to the same crash, even if they
        are reported after the backend server has restarted.

        Args:
          stamp: Time and randomness.
          backend: The backend server.
          attempt_id: The attempt.
        Returns: The crash, with the strikes to broadcast.
        """
        running = self._running_by_backend.get(backend, {})
        if attempt_id not in running:
            known_crash_id = self._crash_ids_by_attempt.get(
                attempt_id, attempt_id
            )
            return BrokenAttempt(known_crash_id, [])
        crash_id = f'{backend}/{stamp.now_ms}/{attempt_id}'
        for broken_id in running:
            self._crash_ids_by_attempt[broken_id] = crash_id
        while len(self._crash_ids_by_attempt) > MAX_BROKEN_ATTEMPTS:
            oldest_attempt_id = next(iter(self._crash_ids_by_attempt))
            del self._crash_ids_by_attempt[oldest_attempt_id]
        return BrokenAttempt(crash_id, self.crashed(stamp, backend, crash_id))

    def crashed(
        self,
        stamp: events.Stamp,
        backend: str,
        crash_id: str,
        complete: bool = True,
        fingerprints: Iterable[str] | None = None,
    ) -> list[Any]:
        """Gives a strike to all that ran on a crashed backend server.

        Args:
          stamp: Time and randomness.
          backend: The backend server.
          crash_id: Id of the crash, the same in all observers.
          complete: Whether this process knows all that ran there; an
            agent does, an entry does not.
          fingerprints: What ran; None to use the attempts recorded by
            attempt_started() and attempt_ended().
        Returns: StrikeGiven notices to broadcast, and effects.
        """
        ran = frozenset(
            self.running_fingerprints(backend)
            if fingerprints is None
            else fingerprints
        )
        self._running_by_backend.pop(backend, None)
        if not ran:
            return []
        members = len(ran) if complete else 0
        crash = Crash(crash_id, stamp.now_ms, ran, members)
        self._add_crash(stamp, crash)
        outputs: list[Any] = [
            notices.StrikeAdded(fingerprint, crash_id, members)
            for fingerprint in sorted(ran)
        ]
        outputs.append(
            effects.Count('backend_crashes', (('backend', backend),))
        )
        return outputs + self._store_crash(stamp, crash)

    def record_report(
        self, stamp: events.Stamp, notice: notices.StrikeAdded
    ) -> list[Any]:
        """Applies a strike from another process, without broadcasting it."""
        fingerprints = frozenset((notice.fingerprint,))
        crash = Crash(
            notice.crash_id, stamp.now_ms, fingerprints, notice.members
        )
        self._add_crash(stamp, crash)
        return []

    def strike_count(self, fingerprint: str, stamp: events.Stamp) -> int:
        """Returns the number of crashes that count against a fingerprint."""
        return len(self._crashes_of(fingerprint, stamp))

    def check(
        self, stamp: events.Stamp, fingerprint: str
    ) -> errors.RequestSuspected | None:
        """Returns a refusal if the fingerprint is blocked.

        Args:
          stamp: Time and randomness.
          fingerprint: Hash of organisation and body.
        Returns: The refusal, or None if the request may run.
        """
        crashes = self._crashes_of(fingerprint, stamp)
        if not self._is_blocked(fingerprint, crashes, stamp):
            return None
        last_ms = max(crash.at_ms for crash in crashes)
        remaining_ms = max(last_ms + CRASH_TTL_MS - stamp.now_ms, 1)
        return errors.RequestSuspected(fingerprint, remaining_ms)

    def must_run_alone(self, fingerprint: str, stamp: events.Stamp) -> bool:
        """Returns whether no other request may run beside a fingerprint."""
        return bool(self._crashes_of(fingerprint, stamp))

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Drops expired crashes and polls the stored ones."""
        self._expire(stamp)
        if self._calls is None or self._pages is None:
            return []
        outputs = _without_completed(self._pages.on_tick(stamp))
        if stamp.now_ms < self._next_read_at_ms:
            return outputs
        jitter_ms = stamp.seed % READ_INTERVAL_MS
        self._next_read_at_ms = (
            stamp.now_ms + READ_INTERVAL_MS // 2 + jitter_ms
        )
        return outputs + self._calls.call(
            stamp,
            OWNER,
            ReadTag(),
            platform.Get(STRIKES_KEY),
            stamp.now_ms + CALL_TIMEOUT_MS,
        )

    def on_restored(self, stamp: events.Stamp) -> list[Any]:
        """Stores crashes again that the restored service may lack."""
        assert self._pages is not None
        return _without_completed(self._pages.on_restored(stamp))

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the result of a call on the stored crashes."""
        assert self._pages is not None
        if isinstance(result, platform.Found | platform.Conflict):
            self._merge_stored(stamp, result.value)
        if isinstance(tag, ReadTag):
            return []
        items = self._pages.on_result(stamp, tag, call, result)
        return _without_completed(items)

    def _merge_stored(self, stamp: events.Stamp, value: bytes) -> None:
        content = strikes_page.Codec().decode(value)
        if content is None:
            return
        for crash_id, record in content['crashes_by_id'].items():
            at_ms = min(record['at_ms'], stamp.now_ms)
            if stamp.now_ms - at_ms >= CRASH_TTL_MS:
                continue
            fingerprints = frozenset(record['fingerprints'])
            self._add_crash(
                stamp, Crash(crash_id, at_ms, fingerprints, record['members'])
            )

    def _store_crash(self, stamp: events.Stamp, crash: Crash) -> list[Any]:
        if self._pages is None:
            return []
        operation = strikes_page.AddCrash(
            crash.crash_id, crash.at_ms, crash.fingerprints, crash.members
        )
        items = self._pages.submit(stamp, STRIKES_KEY, operation, stamp.now_ms)
        return _without_completed(items)

    def _add_crash(self, stamp: events.Stamp, crash: Crash) -> None:
        held = self._crashes_by_id.pop(crash.crash_id, None)
        if held is not None:
            crash = held._replace(
                fingerprints=held.fingerprints | crash.fingerprints,
                members=max(held.members, crash.members),
            )
        self._crashes_by_id[crash.crash_id] = crash
        while len(self._crashes_by_id) > MAX_CRASHES:
            del self._crashes_by_id[next(iter(self._crashes_by_id))]

    def _expire(self, stamp: events.Stamp) -> None:
        limit_ms = stamp.now_ms - CRASH_TTL_MS
        for crash_id, crash in list(self._crashes_by_id.items()):
            if crash.at_ms <= limit_ms:
                del self._crashes_by_id[crash_id]
        for fingerprint, at_ms in list(self._cleared_at_ms.items()):
            if at_ms <= limit_ms:
                del self._cleared_at_ms[fingerprint]

    def _crashes_of(
        self, fingerprint: str, stamp: events.Stamp
    ) -> list[Crash]:
        since_ms = max(
            self._cleared_at_ms.get(fingerprint, 0),
            stamp.now_ms - CRASH_TTL_MS,
        )
        return [
            crash
            for crash in self._crashes_by_id.values()
            if fingerprint in crash.fingerprints and crash.at_ms > since_ms
        ]

    def _is_blocked(
        self, fingerprint: str, crashes: list[Crash], stamp: events.Stamp
    ) -> bool:
        if len(crashes) < 2:
            return False
        if len(crashes) >= MAX_STRIKES:
            return True
        if any(crash.ran_single_request() for crash in crashes):
            return True
        # Strikes of these crashes are still missing.
        if any(crash.members > len(crash.fingerprints) for crash in crashes):
            return False
        common = crashes[0].fingerprints & crashes[1].fingerprints
        return common == frozenset((fingerprint,))


def new_strike_tracker(
    calls: platform_calls.PlatformCalls | None = None,
) -> StrikeTracker:
    """Builds a tracker without strikes.

    Args:
      calls: Makes the platform calls; None in an agent.
    Returns: The tracker.
    """
    return StrikeTracker(calls)


def _without_completed(items: list[Any]) -> list[Any]:
    return [
        item for item in items if not isinstance(item, group_commit.Completed)
    ]
