"""Moves a service to a new version, step by step, or back.

The first half of the time shows a small share of the sessions to the
candidate; in the second half sessions may change their version, and the
share grows to all. Whoever finds the evidence bad reverts. The step taken
is kept in the store and changed by compare-and-swap, so that a gateway
that was away can't undo it; the evidence is pooled between gateways, so
that all keep away from a bad candidate also while the store is away.
"""

from typing import Any, Literal, NamedTuple

import msgspec

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import formats
from ragwortgw_gateway import routes
from ragwortgw_gateway import version_evidence

OWNER = 'rollouts'
Phase = Literal['canary', 'half', 'all', 'complete', 'reverted']

#: Part of the allowed exposure that the canary takes.
CANARY_OF_EXPOSURE = 0.67
HALF_SHARE = 0.5
#: Part of the time after which sessions may change their version.
MOVE_AT = 0.5
#: Part of the time after which all requests go to the candidate. Until
#: then both versions share the load: the baseline's servers stop at the
#: end, and what they could still serve would be lost.
ALL_AT = 0.72
#: Time between steps, for evidence to come in, at least.
STEP_MS = 1_500
#: Part of the time by which the baseline is given up even if requests
#: still run there.
FORCE_AT = 0.94
#: All gateways know of a step after this time.
SETTLE_MS = 1_500
#: How much later than the owner another gateway takes a step.
STAND_IN_MS = 1_000
CALL_TIMEOUT_MS = 1_500
RETRY_MS = 400
FINAL: frozenset[Phase] = frozenset({'complete', 'reverted'})


class Step(NamedTuple):
    """The step that a roll-out is at, as kept in the store.

    Args:
      order: Store revision of the order.
      version: The candidate.
      phase: How far it is.
      elapsed_ms: Time from the order to the step.
    """

    order: int
    version: str
    phase: Phase
    elapsed_ms: int


class EvidenceCounter:
    """What this gateway saw of one roll-out."""

    def __init__(self, order: int) -> None:
        self.seen = digests.RolloutEvidence(order)

    def add(self, **amounts: float) -> None:
        """Adds to the named fields."""
        fields = self.seen._asdict()
        for name, amount in amounts.items():
            fields[name] += amount
        self.seen = digests.RolloutEvidence(**fields)


class RolloutTrack:
    """A roll-out as one gateway follows it.

    Attributes:
      order: The order.
      step: The last step known, None before the first.
      evidence: What this gateway saw.
      distrusted: Whether the pooled evidence is bad; the candidate gets
        nothing from here on, whatever the store says.
    """

    def __init__(
        self, order: documents.RolloutOrder, now_ms: int, fresh: bool
    ) -> None:
        self.order = order
        self.step: Step | None = None
        self.step_revision = 0
        self.evidence = EvidenceCounter(order.revision)
        self.candidate_rejected = False
        self.began_ms = now_ms
        #: Whether this gateway saw the order come, or found it there.
        self.fresh = fresh
        self.step_seen_ms = now_ms
        self.call_deadline_ms = 0
        #: What operators read of it in the store.
        self.status = b''

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

    def elapsed_ms(self, now_ms: int) -> int:
        """Returns the time since the order, as far as it is known."""
        elapsed_ms = now_ms - self.began_ms
        if self.step is not None:
            since_ms = now_ms - self.step_seen_ms
            elapsed_ms = max(elapsed_ms, self.step.elapsed_ms + since_ms)
        return elapsed_ms

    def moving(self, now_ms: int) -> bool:
        """Tells whether sessions may change their version."""
        half_ms = self.order.duration_ms * MOVE_AT
        return self.elapsed_ms(now_ms) >= half_ms


class PeerEvidence(NamedTuple):
    """What the reducer knows of other gateways, for the roll-outs.

    Args:
      ids: Ids of the live ones.
      evidence_by_service: Their evidence, by service.
    """

    ids: tuple[str, ...]
    evidence_by_service: dict[str, list[digests.RolloutEvidence]]


class RolloutController:
    """Follows the orders and takes the steps that are due."""

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
        self._canary_share = exposure_share * CANARY_OF_EXPOSURE

    def step_key(self, service: str) -> str:
        """Returns the key of a roll-out's step."""
        return f'{self._formats.own_prefix}rollouts/{service}'

    def apply_order(
        self, order: documents.RolloutOrder, now_ms: int, fresh: bool
    ) -> None:
        """Takes an order.

        Args:
          order: The order.
          now_ms: The time.
          fresh: Whether it was given just now.
        """
        track = self.tracks_by_service.get(order.service)
        if track is None or track.order.revision < order.revision:
            self.tracks_by_service[order.service] = RolloutTrack(
                order, now_ms, fresh
            )

    def drop_order(self, service: str) -> None:
        """Takes note that an order is deleted."""
        self.tracks_by_service.pop(service, None)

    def apply_step(self, found: platform.Found, now_ms: int) -> Step | None:
        """Takes a step that was found in the store.

        Returns: The step if it is news of a roll-out that is followed.
        """
        try:
            step = msgspec.json.decode(found.value, type=Step)
        except msgspec.MsgspecError:
            return None
        service = found.key.rpartition('/')[2]
        track = self.tracks_by_service.get(service)
        if track is None or found.revision <= track.step_revision:
            return None
        track.step_revision = found.revision
        if step.order != track.order.revision or track.step == step:
            return None
        track.step = step
        track.step_seen_ms = now_ms
        return step

    def record_status(self, found: platform.Found) -> None:
        """Takes what operators read of a roll-out, as found in the store."""
        for service, track in self.tracks_by_service.items():
            if found.key == self._formats.rollout_status_key(service):
                track.status = found.value

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
        """Decides whether a session goes to the candidate.

        Args:
          track: The roll-out.
          session: What decides; the same goes to the same version.
          known_version: Version that the session is on, '' for none.
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
        """Judges the evidence and takes the steps that are due.

        Args:
          stamp: Time and randomness.
          peers: The other gateways.
          baseline_running: Requests that run on the other versions, by
            service, at all gateways.
        Returns: Effects.
        """
        outputs: list[Any] = []
        for service, track in self.tracks_by_service.items():
            if not track.final:
                outputs += self._judge(stamp, service, track, peers)
            outputs += self._act(
                stamp, service, track, peers, baseline_running.get(service, 0)
            )
        return outputs

    def evidence(self, now_ms: int) -> dict[str, digests.RolloutEvidence]:
        """Returns this gateway's evidence, to tell others."""
        return {
            service: track.evidence.seen._replace(
                elapsed_ms=track.elapsed_ms(now_ms)
            )
            for service, track in self.tracks_by_service.items()
            if not track.final
        }

    def pooled(
        self, service: str, track: RolloutTrack, peers: PeerEvidence
    ) -> digests.RolloutEvidence:
        """Adds up the evidence of all gateways."""
        parts = [track.evidence.seen]
        parts += peers.evidence_by_service.get(service, [])
        return version_evidence.pool(parts, track.order.revision)

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Takes the answer to a write of a step or of a status."""
        kind, service = tag
        track = self.tracks_by_service.get(service)
        if track is None:
            return []
        track.call_deadline_ms = stamp.now_ms + RETRY_MS
        if isinstance(result, platform.Unavailable):
            return []
        if kind == 'status':
            assert isinstance(call, platform.Put)
            track.status = call.value
            return []
        if isinstance(result, platform.Conflict):
            found = platform.Found(result.key, result.value, result.revision)
            self.apply_step(found, stamp.now_ms)
        if isinstance(result, platform.Written):
            assert isinstance(call, platform.Put)
            found = platform.Found(call.key, call.value, result.revision)
            self.apply_step(found, stamp.now_ms)
            track.call_deadline_ms = stamp.now_ms
            fields = {'service': service, 'phase': track.phase}
            return [core_effects.Record('rollout-step-written', fields)]
        return []

    def _judge(
        self,
        stamp: events.Stamp,
        service: str,
        track: RolloutTrack,
        peers: PeerEvidence,
    ) -> list[Any]:
        pooled = self.pooled(service, track, peers)
        if pooled.elapsed_ms > track.elapsed_ms(stamp.now_ms):
            track.began_ms = stamp.now_ms - pooled.elapsed_ms
        if (
            track.candidate_rejected
            or version_evidence.evaluate(pooled) != 'bad'
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

    def _act(
        self,
        stamp: events.Stamp,
        service: str,
        track: RolloutTrack,
        peers: PeerEvidence,
        running: int,
    ) -> list[Any]:
        if stamp.now_ms < track.call_deadline_ms:
            return []
        position = self._position(service, peers)
        due = self._due(stamp, service, track, peers, running, position)
        if due is not None:
            return self._write_step(stamp, service, track, due)
        late_ms = position * STAND_IN_MS
        if stamp.now_ms < track.step_seen_ms + late_ms:
            return []
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
        """Returns this gateway's place in the order of who acts first."""
        ranked = sorted(
            {self._host_id, *peers.ids},
            key=lambda host: routes.hash_fraction(f'{service} {host}'),
        )
        return ranked.index(self._host_id)

    def _due(
        self,
        stamp: events.Stamp,
        service: str,
        track: RolloutTrack,
        peers: PeerEvidence,
        running: int,
        position: int,
    ) -> Phase | None:
        if track.final:
            return None
        if track.candidate_rejected:
            return 'reverted'
        now_ms = stamp.now_ms - position * STAND_IN_MS
        elapsed_ms = track.elapsed_ms(now_ms)
        in_step_ms = now_ms - track.step_seen_ms
        pooled = self.pooled(service, track, peers)
        if version_evidence.evaluate(pooled) != 'good':
            return None
        duration_ms = track.order.duration_ms
        if track.phase == 'canary':
            return 'half' if elapsed_ms >= duration_ms * MOVE_AT else None
        if in_step_ms < STEP_MS:
            return None
        if track.phase == 'half':
            return 'all' if elapsed_ms >= duration_ms * ALL_AT else None
        forced = elapsed_ms >= duration_ms * FORCE_AT
        settled = in_step_ms >= SETTLE_MS and running == 0
        return 'complete' if settled or forced else None

    def _write_step(
        self,
        stamp: events.Stamp,
        service: str,
        track: RolloutTrack,
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
        fields = {'service': service, **step._asdict()}
        return [
            core_effects.Record('rollout-step', fields),
            *self._call(stamp, ('step', service), write),
        ]

    def _call(
        self, stamp: events.Stamp, tag: Any, call: platform.Call
    ) -> list[Any]:
        deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        return self._calls.call(stamp, OWNER, tag, call, deadline_ms)
