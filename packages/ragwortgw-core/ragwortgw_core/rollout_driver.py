"""Pools evidence on roll-outs and, as the lease holder, advances them.

Every entry adds its evidence to the pool of each roll-out in progress. One
entry holds the lease of the roll-out driver; it evaluates the pooled
evidence and orders the next steps and withdrawals.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from ragwortgw_core import configuration
from ragwortgw_core import decoding
from ragwortgw_core import documents
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import evidence
from ragwortgw_core import ids
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import rollouts

OWNER = 'driver'
DRIVER_KEY = 'rollout/driver'
POOL_PREFIX = 'rollout/evidence/'
DRIVE_INTERVAL_MS = 1_000
#: Reads and writes per second that all entries together make on a pool.
FLEET_POOLS_PER_S = 20
MS_PER_S = 1_000
#: Shortest time over which the request rate is measured.
RATE_WINDOW_MS = 2_000
LEASE_TTL_MS = 10_000
LEASE_RETRY_MS = 3_000
CALL_TIMEOUT_MS = 2_000
ORDER_TIMEOUT_MS = 5_000
OPERATOR = 'rollout-driver'
#: States of a roll-out in which the candidate may still be withdrawn.
FOLLOWED_STATES = ('running', 'paused', 'done')


class RequestCount(NamedTuple):
    """Requests of a roll-out counted up to a time, Unix ms."""

    at_ms: int
    requests: int


class PoolTag(NamedTuple):
    """Identifies a read or write of the pooled evidence on a model."""

    model: str


class RolloutDriver:
    """Pools this entry's evidence and, with the lease, takes the steps.

    The lease only prevents duplicate work. Each step is a compare-and-swap
    on the configuration, so a holder that was paused until its lease
    expired can't undo what another entry has done since.

    Args:
      calls: Makes the platform calls.
      entry_id: Id of this entry, for the log.
      incarnation: Id of this process; holder of the lease and of batches.
      version_evidence: Evidence of this entry.
      submit: Executes an order and returns its effects.
    """

    def __init__(
        self,
        calls: platform_calls.PlatformCalls,
        entry_id: str,
        incarnation: str,
        version_evidence: evidence.VersionEvidence,
        submit: Callable[[events.Stamp, events.OrderReceived], list[Any]],
    ) -> None:
        self._calls = calls
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._lease = f'rollout-driver-{incarnation}'
        self._evidence = version_evidence
        self._submit = submit
        self._lease_until_ms = 0
        self._grant_deadline_ms = 0
        self._renew_at_ms = 0
        self._pool_at_ms = 0
        self._interval_ms = DRIVE_INTERVAL_MS
        self._order_deadline_ms_by_model: dict[str, int] = {}
        self._next_order = -1
        self._first_count_by_track: dict[str, RequestCount] = {}
        self._snapshot: configuration.Snapshot | None = None
        calls.register(OWNER, self)
        calls.restores.register(self)

    def configure(self, snapshot: configuration.Snapshot) -> None:
        """Applies a configuration and follows its unfinished roll-outs."""
        self._snapshot = snapshot
        self._order_deadline_ms_by_model.clear()
        for rollout in self._followed():
            self._evidence.follow(rollout)

    def holds_lease(self, now_ms: int) -> bool:
        """Returns whether this entry is the one that takes steps."""
        return now_ms < self._lease_until_ms

    def set_entry_count(self, entries: int) -> None:
        """Adapts the pooling interval to the number of live entries."""
        fleet_interval_ms = entries * MS_PER_S // FLEET_POOLS_PER_S
        self._interval_ms = max(DRIVE_INTERVAL_MS, fleet_interval_ms)

    def on_restored(self, stamp: events.Stamp) -> list[Any]:
        """Gives up the lease, which the restored service may lack.

        Another entry may hold it by now.
        """
        self._lease_until_ms = self._grant_deadline_ms = 0
        return []

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Renews or requests the lease and reads the pools when due."""
        followed = self._followed()
        if stamp.now_ms < self._pool_at_ms or not followed:
            return []
        interval_ms = self._interval_ms
        if self.holds_lease(stamp.now_ms):
            interval_ms = min(interval_ms, LEASE_RETRY_MS)
        jitter_ms = stamp.seed % (interval_ms // 4)
        self._pool_at_ms = stamp.now_ms + interval_ms - jitter_ms
        outputs = self._renew_lease(stamp)
        for rollout in followed:
            read = platform.Get(POOL_PREFIX + rollout['id'])
            outputs += self._call(stamp, PoolTag(rollout['id']), read)
        return outputs

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the result of one of this component's calls."""
        if isinstance(tag, PoolTag):
            return self._on_pool(stamp, tag.model, call, result)
        if isinstance(result, platform.Granted):
            return self._on_granted(stamp, result)
        if isinstance(call, platform.Put):
            return self._on_driver_written(stamp, result)
        return []

    def _followed(self) -> list[documents.Rollout]:
        """Returns the roll-outs whose candidate may still be withdrawn."""
        if self._snapshot is None:
            return []
        return [
            rollout
            for rollout in self._snapshot.rollouts_by_id.values()
            if rollout['state'] in FOLLOWED_STATES
        ]

    def _call(
        self, stamp: events.Stamp, tag: Any, call: platform.Call
    ) -> list[Any]:
        deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        return self._calls.call(stamp, OWNER, tag, call, deadline_ms)

    def _renew_lease(self, stamp: events.Stamp) -> list[Any]:
        if stamp.now_ms < self._renew_at_ms:
            return []
        self._renew_at_ms = stamp.now_ms + LEASE_RETRY_MS
        grant = platform.Grant(self._lease, LEASE_TTL_MS)
        return self._call(stamp, 'lease', grant)

    def _on_granted(
        self, stamp: events.Stamp, granted: platform.Granted
    ) -> list[Any]:
        if self.holds_lease(stamp.now_ms):
            self._lease_until_ms = granted.deadline_ms
            return []
        self._grant_deadline_ms = granted.deadline_ms
        put = platform.Put(
            DRIVER_KEY, self._incarnation.encode(), 0, self._lease
        )
        return self._call(stamp, 'lead', put)

    def _on_driver_written(
        self, stamp: events.Stamp, result: platform.Result
    ) -> list[Any]:
        won = isinstance(result, platform.Written) or (
            isinstance(result, platform.Conflict)
            and result.value == self._incarnation.encode()
        )
        if not won:
            return []
        self._lease_until_ms = self._grant_deadline_ms
        retry_at_ms = stamp.now_ms + LEASE_RETRY_MS
        self._pool_at_ms = min(self._pool_at_ms, retry_at_ms)
        return [
            effects.LogChange('drives roll-outs', {'entry': self._entry_id})
        ]

    def _on_pool(
        self,
        stamp: events.Stamp,
        model: str,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies a pool as read or written and adds this entry's evidence."""
        rollout = self._rollout(model)
        if rollout is None or isinstance(result, platform.Unavailable):
            return []
        if isinstance(call, platform.Put):
            self._on_pool_written(rollout, call, result)
            return []
        pool, revision = None, 0
        outputs: list[Any] = []
        if isinstance(result, platform.Found):
            revision = result.revision
            pool = _read_pool(result.value)
            if pool is None:
                # Written anew: entries go on to add what they see.
                fields = {'rollout': rollout['id'], 'revision': revision}
                outputs.append(
                    effects.LogChange('unreadable evidence replaced', fields)
                )
            else:
                self._evidence.apply_pool(rollout, pool)
        outputs += self._write_pool(stamp, rollout, pool, revision)
        if self.holds_lease(stamp.now_ms):
            outputs += self._advance(stamp, rollout)
        return outputs

    def _rollout(self, model: str) -> documents.Rollout | None:
        if self._snapshot is None:
            return None
        return self._snapshot.rollouts_by_id.get(model)

    def _write_pool(
        self,
        stamp: events.Stamp,
        rollout: documents.Rollout,
        pool: evidence.Pool | None,
        revision: int,
    ) -> list[Any]:
        """Writes the pool with this entry's next batch added to it."""
        batch = self._evidence.next_batch(rollout)
        if batch is None:
            return []
        merged = evidence.add_batch(pool, rollout, self._incarnation, batch)
        put = platform.Put(
            POOL_PREFIX + rollout['id'], msgspec.json.encode(merged), revision
        )
        return self._call(stamp, PoolTag(rollout['id']), put)

    def _on_pool_written(
        self,
        rollout: documents.Rollout,
        call: platform.Put,
        result: platform.Result,
    ) -> None:
        value = b''
        if isinstance(result, platform.Written):
            value = call.value
        if isinstance(result, platform.Conflict):
            value = result.value
        pool = _read_pool(value) if value else None
        if pool is not None:
            self._evidence.apply_pool(rollout, pool)

    def _advance(
        self, stamp: events.Stamp, rollout: documents.Rollout
    ) -> list[Any]:
        """Orders the next step if one is due and none is in progress."""
        assert self._snapshot is not None
        model = rollout['id']
        if stamp.now_ms < self._order_deadline_ms_by_model.get(model, 0):
            return []
        first_share = self._first_share(stamp, rollout)
        if first_share is None:
            return []
        kind = self._snapshot.models_by_id[model]['kind']
        verdict = self._evidence.verdict(rollout, rated=kind == 'chat')
        versions_by_id = self._snapshot.versions_by_id
        advanced = rollouts.advance(
            rollout, verdict, versions_by_id, stamp, first_share
        )
        if advanced is None:
            return []
        deadline_ms = stamp.now_ms + ORDER_TIMEOUT_MS
        self._order_deadline_ms_by_model[model] = deadline_ms
        changes: dict[str, Any] = {f'rollout/{model}': advanced}
        withdrawn = rollouts.withdrawn_version(
            advanced, versions_by_id, f'evidence: {verdict}'
        )
        if withdrawn is not None:
            changes[f'version/{withdrawn["id"]}'] = withdrawn
        return self._submit(stamp, self._new_order(stamp, advanced, changes))

    def _first_share(
        self, stamp: events.Stamp, rollout: documents.Rollout
    ) -> int | None:
        """Bounds the first share by the measured rate of requests.

        Returns: The share in basis points; None until a rate is known.
        """
        pooled = self._evidence.pooled_sums(rollout)
        requests = sum(
            sums.candidate_requests + sums.baseline_requests
            for sums in pooled.values()
        )
        key = evidence.track_name(rollout)
        first = self._first_count_by_track.setdefault(
            key, RequestCount(stamp.now_ms, requests)
        )
        elapsed_ms = stamp.now_ms - first.at_ms
        if elapsed_ms < RATE_WINDOW_MS:
            return None
        rate = (requests - first.requests) * MS_PER_S / elapsed_ms
        decision_ms = rollouts.EFFECTIVE_DELAY_MS + self._interval_ms
        return rollouts.first_share_limit(rate, decision_ms)

    def _new_order(
        self,
        stamp: events.Stamp,
        advanced: documents.Rollout,
        changes: dict[str, Any],
    ) -> events.OrderReceived:
        """Builds the order that takes a step.

        The order names the revision that the decision is based on, and is
        refused if the configuration has changed since, for example by a
        pause of the roll-out.
        """
        assert self._snapshot is not None
        op_id = self._next_order
        self._next_order -= 1
        step = f'{advanced["id"]} fencing {advanced["fencing"]}'
        return events.OrderReceived(
            op_id,
            OPERATOR,
            ids.new_uuid7(stamp.now_ms, stamp.seed),
            f'step roll-out {step}',
            self._snapshot.revision,
            False,
            changes,
        )


def _read_pool(value: bytes) -> evidence.Pool | None:
    """Reads a pool of evidence, None if the bytes are none."""
    try:
        return decoding.from_json(value, evidence.Pool)
    except decoding.Undecodable:
        return None
