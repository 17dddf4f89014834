"""Rolls a service out to a new version in steps, or reverts it.

In the first half of the time a small share of the sessions goes to the
candidate (canary); in the second half sessions may change their version, and
the share grows to all. Any gateway that finds the evidence bad reverts. The
current step is kept in the store and changed by compare-and-swap, so that a
gateway that was disconnected can't undo it. The evidence is exchanged
between gateways, so that all avoid a bad candidate even while the store is
unreachable.
"""

from typing import Any, Literal, NamedTuple

import msgspec

from ragwortgw_core import decoding
from ragwortgw_core import effects as core_effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import formats
from ragwortgw_gateway import routes
from ragwortgw_gateway import version_evidence

#: Name under which results of calls to the store are returned here.
OWNER = 'rollouts'
Phase = Literal['canary', 'half', 'all', 'complete', 'reverted']

#: Fraction of the allowed exposure that the canary uses.
CANARY_FRACTION = 0.67
#: Share of new sessions that go to the candidate in phase 'half'.
HALF_SHARE = 0.5
#: Fraction of the duration after which sessions may change their version.
MOVE_AT = 0.5
#: Fraction of the duration after which all requests go to the candidate.
#: Until then both versions share the load: the baseline's servers stop at
#: the end, and their capacity is lost from then on.
ALL_AT = 0.72
#: Shortest time between steps, in which evidence is collected.
MIN_STEP_MS = 1_500
#: Fraction of the duration after which the roll-out completes even if
#: requests are still in progress on the baseline.
FORCE_AT = 0.94
#: Time after which all gateways know of a step.
SETTLE_MS = 1_500
#: Each gateway takes a due step this much later than the one ranked before
#: it, in case that one does not; the longest such delay.
STAND_IN_MS = 1_000
#: Gateways that get their turn between FORCE_AT and the end of a roll-out:
#: the store may turn some of them away.
LAST_TURNS = 4
#: Routes of which evidence is kept for each roll-out, the first ones used.
MAX_ROUTES = 32
#: Time for which a verdict is used; pooling the evidence of many gateways
#: takes time, and peers send theirs less often.
EVALUATION_INTERVAL_MS = 100
CALL_TIMEOUT_MS = 1_500
RETRY_MS = 400
#: Phases in which a roll-out is over.
FINAL: frozenset[Phase] = frozenset({'complete', 'reverted'})
#: A roll-out never goes back from a phase to one of a lower rank.
RANKS_BY_PHASE: dict[Phase, int] = {
    'canary': 0,
    'half': 1,
    'all': 2,
    'complete': 3,
    'reverted': 3,
}


class Step(NamedTuple):
    """The current step of a roll-out, as kept in the store.

    Args:
      order: Store revision of the order.
      version: Version of the candidate.
      phase: The phase that began with this step.
      elapsed_ms: Time from the order to the step.
    """

    order: int
    version: str
    phase: Phase
    elapsed_ms: int


class EvidenceCounter:
    """Evidence that this gateway collects on one roll-out.

    Attributes:
      counts: All of it.
      counts_by_route: The parts of it by route, of MAX_ROUTES routes.
    """

    def __init__(self, order: int) -> None:
        self.counts = digests.RolloutEvidence(order)
        self.counts_by_route: dict[str, digests.RolloutEvidence] = {}

    def add(self, route_id: str = '', **amounts: float) -> None:
        """Adds amounts to the fields of the same names.

        Args:
          route_id: The route that they belong to, '' if it is unknown.
          amounts: The amounts.
        """
        self.counts = _add(self.counts, amounts)
        counts = self.counts_by_route.get(route_id)
        if counts is None:
            if not route_id or len(self.counts_by_route) >= MAX_ROUTES:
                return
            counts = digests.RolloutEvidence(self.counts.order)
        self.counts_by_route[route_id] = _add(counts, amounts)

    def rename_order(self, order: int) -> None:
        """Goes on under another revision of the order."""
        self.counts = self.counts._replace(order=order)
        for route_id, counts in self.counts_by_route.items():
            self.counts_by_route[route_id] = counts._replace(order=order)


class RolloutTrack:
    """State of one roll-out at one gateway: its order, step and evidence.

    Attributes:
      order: The order.
      step: The last step known, None before the first.
      stored_step: The step in the store, None if it has none.
      step_revision: Store revision of that step, 0 if there is none.
      evidence: Evidence of this gateway.
      candidate_rejected: Whether the pooled evidence is bad; this gateway
        then sends nothing more to the candidate, whatever the store says.
      began_ms: When the order was given, as far as this gateway knows.
      fresh: Whether this gateway was running when the order was given.
      step_seen_ms: When this gateway learned of the step.
      restored_ms: When the store was last restored from an older copy.
      call_deadline_ms: No call to the store is made before this time.
      status: Status for operators, as last seen in the store or written.
      wrote_step: Whether this gateway wrote the step.
      verdict: What the pooled evidence said when it was last evaluated.
      evaluation_due_ms: When it is evaluated next.
    """

    def __init__(
        self, order: documents.RolloutOrder, now_ms: int, fresh: bool
    ) -> None:
        self.order = order
        self.step: Step | None = None
        self.stored_step: Step | None = None
        self.step_revision = 0
        self.evidence = EvidenceCounter(order.revision)
        self.candidate_rejected = False
        self.began_ms = now_ms
        self.fresh = fresh
        self.step_seen_ms = now_ms
        self.restored_ms = 0
        self.call_deadline_ms = 0
        self.status = b''
        self.wrote_step = False
        self.verdict: version_evidence.Verdict = 'undecided'
        self.evaluation_due_ms = 0

    @property
    def phase(self) -> Phase:
        """The phase in force at this gateway."""
        if self.candidate_rejected and not self.final:
            return 'reverted'
        return 'canary' if self.step is None else self.step.phase

    @property
    def final(self) -> bool:
        """Whether the roll-out is over."""
        return self.step is not None and self.step.phase in FINAL

    @property
    def step_lost(self) -> bool:
        """Whether the store lacks the step, since it was restored.

        A step of a later order than the one known here is not overwritten.
        """
        if self.step is None or not self.restored_ms:
            return False
        stored = self.stored_step
        if stored is None or stored.order < self.step.order:
            return True
        return stored.order == self.step.order and _falls_back(
            stored.phase, self.step.phase
        )

    def rename_order(self, order: documents.RolloutOrder) -> None:
        """Goes on under the revision at which the order was written again."""
        self.order = order
        self.evidence.rename_order(order.revision)
        if self.step is not None:
            self.step = self.step._replace(order=order.revision)

    @property
    def stand_in_ms(self) -> float:
        """Time after which the next gateway takes a step that is due."""
        reserve_ms = self.order.duration_ms * (1 - FORCE_AT)
        return min(STAND_IN_MS, reserve_ms / LAST_TURNS)

    def elapsed_ms(self, now_ms: int) -> int:
        """Returns the time since the order, as far as this gateway knows."""
        elapsed_ms = now_ms - self.began_ms
        if self.step is not None:
            since_ms = now_ms - self.step_seen_ms
            elapsed_ms = max(elapsed_ms, self.step.elapsed_ms + since_ms)
        return elapsed_ms

    def moving(self, now_ms: int) -> bool:
        """Returns whether sessions may change their version."""
        move_ms = self.order.duration_ms * MOVE_AT
        return self.elapsed_ms(now_ms) >= move_ms


class PeerEvidence(NamedTuple):
    """The live peers and their evidence.

    Args:
      ids: Host ids of the peers.
      evidence_by_key: Evidence of each peer, by service and by the key of a
        service's route.
    """

    ids: tuple[str, ...]
    evidence_by_key: dict[str, list[digests.RolloutEvidence]]


class RolloutController:
    """Follows the orders for roll-outs and takes the steps that are due.

    Args:
      calls: Makes calls to the store.
      host_id: Id of this gateway's host.
      store_formats: Keys and encodings of the deployment's store.
      exposure_share: Share of requests that a bad version may get.

    Attributes:
      tracks_by_service: Known roll-outs, including those that are over.
    """

    def __init__(
        self,
        calls: platform_calls.PlatformCalls,
        host_id: str,
        store_formats: formats.Formats,
        exposure_share: float,
    ) -> None:
        self._calls = calls
        self._host_id = host_id
        self._formats = store_formats
        self.set_max_exposure(exposure_share)
        self.tracks_by_service: dict[str, RolloutTrack] = {}
        calls.register(OWNER, self)

    def set_max_exposure(self, exposure_share: float) -> None:
        """Changes the share of requests that a bad version may get."""
        self._canary_share = exposure_share * CANARY_FRACTION

    def step_key(self, service: str) -> str:
        """Returns the key of a roll-out's step."""
        return f'{self._formats.own_prefix}rollouts/{service}'

    def apply_order(
        self,
        order: documents.RolloutOrder,
        now_ms: int,
        fresh: bool,
        may_be_old: bool = False,
    ) -> bool:
        """Begins to follow an order, unless a newer one is known.

        Args:
          order: The order.
          now_ms: The time.
          fresh: Whether it was given just now.
          may_be_old: Whether the store was restored from an older copy a
            short time ago: an order like the one in force is that one, from
            the copy or written again.
        Returns: Whether it was not followed before.
        """
        track = self.tracks_by_service.get(order.service)
        if track is not None and track.order.revision >= order.revision:
            return False
        if track is not None and may_be_old and self.is_current(order):
            track.rename_order(order)
            return False
        self.tracks_by_service[order.service] = RolloutTrack(
            order, now_ms, fresh
        )
        return True

    def is_current(self, order: documents.RolloutOrder) -> bool:
        """Returns whether an order is like the one that is followed."""
        track = self.tracks_by_service.get(order.service)
        if track is None:
            return False
        return track.order._replace(revision=order.revision) == order

    def on_store_restored(self, now_ms: int) -> None:
        """Forgets what the store held before it was restored."""
        for track in self.tracks_by_service.values():
            track.restored_ms = now_ms
            track.step_revision = 0
            track.stored_step = None
            track.status = b''

    def forget_step(self, key: str) -> None:
        """Records that a key was deleted, which may be that of a step."""
        for service, track in self.tracks_by_service.items():
            if key == self.step_key(service):
                track.step_revision = 0
                track.stored_step = None

    def drop_order(self, service: str) -> None:
        """Stops following an order that was deleted."""
        self.tracks_by_service.pop(service, None)

    def apply_step(self, entry: platform.Found, now_ms: int) -> Step | None:
        """Applies a step that was read from the store.

        Returns: The step; None if it is unreadable, already known, or not
          that of the current order.
        """
        try:
            step = decoding.from_json(entry.value, Step)
        except decoding.Undecodable:
            return None
        service = entry.key.rpartition('/')[2]
        track = self.tracks_by_service.get(service)
        if track is None or entry.revision <= track.step_revision:
            return None
        track.step_revision = entry.revision
        track.stored_step = step
        if step.order != track.order.revision or track.step == step:
            return None
        if track.step is not None and _falls_back(
            step.phase, track.step.phase
        ):
            return None
        track.step = step
        track.step_seen_ms = now_ms
        track.wrote_step = False
        return step

    def record_status(self, key: str, value: bytes) -> None:
        """Records a status for operators that the store holds.

        Args:
          key: A key, which may be that of a status.
          value: Its value, b'' if it was deleted.
        """
        for service, track in self.tracks_by_service.items():
            if key == self._formats.rollout_status_key(service):
                track.status = value

    def candidate_share(self, track: RolloutTrack) -> float:
        """Returns the share of new sessions that go to the candidate."""
        shares: dict[Phase, float] = {
            'canary': self._canary_share,
            'half': HALF_SHARE,
            'all': 1.0,
            'complete': 1.0,
            'reverted': 0.0,
        }
        return shares[track.phase]

    def wants_candidate(
        self,
        track: RolloutTrack,
        session: str,
        known_version: str,
        now_ms: int,
    ) -> bool:
        """Returns whether a session goes to the candidate.

        Args:
          track: The roll-out.
          session: Session id, which is hashed; the same id always gets the
            same version.
          known_version: Version that serves the session, '' if unknown.
          now_ms: The time.
        """
        if track.phase in FINAL:
            return track.phase == 'complete'
        if known_version == track.order.version:
            return True
        if known_version and not track.moving(now_ms):
            return False
        return routes.hash_fraction(session) < self.candidate_share(track)

    def on_tick(
        self,
        stamp: events.Stamp,
        peers: PeerEvidence,
        baseline_running: dict[str, int],
    ) -> list[Any]:
        """Evaluates the evidence and takes the steps that are due.

        Args:
          stamp: Time and random seed.
          peers: The live peers and their evidence.
          baseline_running: Requests in progress on versions other than the
            candidate, of all gateways, by service.
        Returns: Effects.
        """
        outputs: list[Any] = []
        for service, track in self.tracks_by_service.items():
            if not track.final:
                outputs += self._evaluate(stamp, service, track, peers)
            outputs += self._make_due_call(
                stamp, service, track, peers, baseline_running.get(service, 0)
            )
        return outputs

    def local_evidence(
        self, now_ms: int
    ) -> dict[str, digests.RolloutEvidence]:
        """Returns this gateway's evidence for its digest.

        Returns: Evidence by service and by the key of a service's route.
        """
        evidence: dict[str, digests.RolloutEvidence] = {}
        for service, track in self.tracks_by_service.items():
            if track.final:
                continue
            evidence[service] = track.evidence.counts._replace(
                elapsed_ms=track.elapsed_ms(now_ms)
            )
            for route_id, counts in track.evidence.counts_by_route.items():
                evidence[_route_key(service, route_id)] = counts
        return evidence

    def pooled_evidence(
        self, service: str, track: RolloutTrack, peers: PeerEvidence
    ) -> digests.RolloutEvidence:
        """Returns the evidence of all gateways together."""
        parts = [track.evidence.counts]
        parts += peers.evidence_by_key.get(service, [])
        return version_evidence.pool(parts, track.order.revision)

    def _verdict(
        self,
        stamp: events.Stamp,
        service: str,
        track: RolloutTrack,
        peers: PeerEvidence,
    ) -> version_evidence.Verdict:
        """Returns what the evidence of all gateways says, as of lately."""
        if stamp.now_ms >= track.evaluation_due_ms:
            track.evaluation_due_ms = stamp.now_ms + EVALUATION_INTERVAL_MS
            track.verdict = self._evaluate_routes(service, track, peers)
        return track.verdict

    def _evaluate_routes(
        self, service: str, track: RolloutTrack, peers: PeerEvidence
    ) -> version_evidence.Verdict:
        """Evaluates the evidence of all gateways on each route."""
        prefix = _route_key(service, '')
        parts_by_key = {
            _route_key(service, route_id): [counts]
            for route_id, counts in track.evidence.counts_by_route.items()
        }
        for key, parts in peers.evidence_by_key.items():
            if key.startswith(prefix):
                parts_by_key.setdefault(key, []).extend(parts)
        return version_evidence.evaluate(
            self.pooled_evidence(service, track, peers),
            {
                key: version_evidence.pool(parts, track.order.revision)
                for key, parts in parts_by_key.items()
            },
        )

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Handles the result of writing a step or a status."""
        value_kind, service = tag
        track = self.tracks_by_service.get(service)
        if track is None:
            return []
        track.call_deadline_ms = stamp.now_ms + RETRY_MS
        if isinstance(result, platform.Unavailable):
            return []
        if value_kind == 'status':
            assert isinstance(call, platform.Put)
            track.status = call.value
            return []
        if isinstance(result, platform.Conflict):
            entry = platform.Found(result.key, result.value, result.revision)
            self.apply_step(entry, stamp.now_ms)
        if isinstance(result, platform.Written):
            assert isinstance(call, platform.Put)
            entry = platform.Found(call.key, call.value, result.revision)
            self.apply_step(entry, stamp.now_ms)
            track.wrote_step = True
            track.call_deadline_ms = stamp.now_ms
            fields = {'service': service, 'phase': track.phase}
            return [core_effects.Record('rollout-step-written', fields)]
        return []

    def _evaluate(
        self,
        stamp: events.Stamp,
        service: str,
        track: RolloutTrack,
        peers: PeerEvidence,
    ) -> list[Any]:
        """Rejects the candidate if the evidence of all gateways is bad.

        Also corrects the start of the roll-out if a peer has known the
        order for longer.
        """
        pooled = self.pooled_evidence(service, track, peers)
        if pooled.elapsed_ms > track.elapsed_ms(stamp.now_ms):
            track.began_ms = stamp.now_ms - pooled.elapsed_ms
        if (
            track.candidate_rejected
            or self._verdict(stamp, service, track, peers) != 'bad'
        ):
            return []
        track.candidate_rejected = True
        fields = {
            'service': service,
            'version': track.order.version,
            **pooled._asdict(),
        }
        return [
            core_effects.Record('rollout-candidate-bad', fields),
            core_effects.LogChange('candidate of roll-out is bad', fields),
        ]

    def _make_due_call(
        self,
        stamp: events.Stamp,
        service: str,
        track: RolloutTrack,
        peers: PeerEvidence,
        baseline_running: int,
    ) -> list[Any]:
        """Writes the step that is due, or else an outdated status.

        The gateway that wrote the step writes its status, as the store may
        turn those away that are ranked before it.
        """
        if stamp.now_ms < track.call_deadline_ms:
            return []
        position = self._position(service, peers)
        due_phase = self._due_phase(
            stamp, service, track, peers, baseline_running, position
        )
        if due_phase is not None:
            return self._write_step(stamp, service, track, peers, due_phase)
        turn = 0 if track.wrote_step else position + 1
        turns_begin_ms, turn_ms = track.step_seen_ms, track.stand_in_ms
        if track.restored_ms > track.step_seen_ms:
            turns_begin_ms, turn_ms = track.restored_ms, STAND_IN_MS
        if stamp.now_ms < turns_begin_ms + turn * turn_ms:
            return []
        if track.step_lost:
            return self._write_step(stamp, service, track, peers, track.phase)
        phase = 'running' if not track.final else track.phase
        value = self._formats.write_rollout_status(track.order, phase)
        if track.status == value:
            return []
        track.call_deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        write = platform.Put(
            self._formats.rollout_status_key(service),
            value,
            platform.ANY_REVISION,
        )
        return self._call(stamp, ('status', service), write)

    def _position(self, service: str, peers: PeerEvidence) -> int:
        """Returns the rank of this gateway among those that may act, 0 first.

        Gateways are ranked by rendezvous hashing, so that all agree.
        """
        ranked = sorted(
            {self._host_id, *peers.ids},
            key=lambda host: routes.hash_fraction(f'{service} {host}'),
        )
        return ranked.index(self._host_id)

    def _due_phase(
        self,
        stamp: events.Stamp,
        service: str,
        track: RolloutTrack,
        peers: PeerEvidence,
        baseline_running: int,
        position: int,
    ) -> Phase | None:
        """Returns the phase that is due, None to stay in the current one.

        Args:
          stamp: Time and random seed.
          service: The service.
          track: The roll-out.
          peers: The live peers and their evidence.
          baseline_running: Requests in progress on other versions than the
            candidate, of all gateways.
          position: Rank of this gateway among those that may act, 0 first.
        """
        if track.final:
            return None
        if track.candidate_rejected:
            return 'reverted'
        now_ms = stamp.now_ms - round(position * track.stand_in_ms)
        elapsed_ms = track.elapsed_ms(now_ms)
        since_step_ms = now_ms - track.step_seen_ms
        duration_ms = track.order.duration_ms
        forced = elapsed_ms >= duration_ms * FORCE_AT
        verdict = self._verdict(stamp, service, track, peers)
        if verdict == 'doubtful' and forced:
            return 'reverted'
        if verdict != 'good':
            return None
        if track.phase == 'canary':
            return 'half' if elapsed_ms >= duration_ms * MOVE_AT else None
        if since_step_ms < MIN_STEP_MS:
            return None
        if track.phase == 'half':
            return 'all' if elapsed_ms >= duration_ms * ALL_AT else None
        drained = since_step_ms >= SETTLE_MS and baseline_running == 0
        return 'complete' if drained or forced else None

    def _write_step(
        self,
        stamp: events.Stamp,
        service: str,
        track: RolloutTrack,
        peers: PeerEvidence,
        phase: Phase,
    ) -> list[Any]:
        elapsed_ms = track.elapsed_ms(stamp.now_ms)
        step = Step(
            track.order.revision, track.order.version, phase, elapsed_ms
        )
        track.call_deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        write = platform.Put(
            self.step_key(service),
            msgspec.json.encode(step),
            track.step_revision,
        )
        pooled = self.pooled_evidence(service, track, peers)
        fields = {
            'service': service,
            **pooled._asdict(),
            **step._asdict(),
        }
        return [
            core_effects.Record('rollout-step', fields),
            *self._call(stamp, ('step', service), write),
        ]

    def _call(
        self, stamp: events.Stamp, tag: Any, call: platform.Call
    ) -> list[Any]:
        deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        return self._calls.call(stamp, OWNER, tag, call, deadline_ms)


def _add(
    counts: digests.RolloutEvidence, amounts: dict[str, float]
) -> digests.RolloutEvidence:
    """Returns evidence with amounts added to the fields of the same names."""
    fields = counts._asdict()
    for name, amount in amounts.items():
        fields[name] += amount
    return digests.RolloutEvidence(**fields)


def _route_key(service: str, route_id: str) -> str:
    """Returns the key of a route's evidence in digests."""
    return f'{service}\n{route_id}'


def _falls_back(phase: Phase, known: Phase) -> bool:
    """Returns whether a phase is earlier than the one that is known."""
    return RANKS_BY_PHASE[phase] < RANKS_BY_PHASE[known]
