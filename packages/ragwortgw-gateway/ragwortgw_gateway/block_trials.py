"""Tries whether prompts with a held block crash servers, one at a time.

A block is held by mistake if servers crashed for another reason while they
had its requests. Nothing that is not sent can show that, so that one request
at a time goes to a quiet server: a sound answer releases the block, a crash
confirms it. It also decides on blocks that statistics leave in doubt, whose
other requests wait meanwhile.

All gateways make one trial at a time of a block. One that has a request for it
claims the trial in a report to its peers, and waits until claims of others
would have come; of two that claim at once the one with the better rendezvous
rank keeps it. Gateways that can't reach each other make a trial each.
"""

import enum
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from ragwortgw_gateway import digests
from ragwortgw_gateway import fleet
from ragwortgw_gateway import prefixes

#: Time from the quarantine of a block to its first trial, and from each
#: crash in a trial to the next one. After the last there is none.
TRIAL_DELAYS_MS = (2_000, 6_000, 300_000)
#: Time after a trial that showed nothing, such as a refusal by the server.
REPEAT_MS = 500
#: Trials of a block in doubt that may crash a server which ran other requests
#: as well, the last of which counts.
MAX_DOUBTFUL = 2
#: Time in which a trial that is due waits for a request that has no other
#: suspected block.
OVERDUE_MS = 1_500
#: Time in which the claims of other gateways arrive.
CLAIM_MS = 200
#: A claim that is not reported again lapses after this time.
CLAIM_LIFETIME_MS = 6_000
#: Time for which reports of peers that have not received a release do not
#: put the block back.
RELEASE_GRACE_MS = 5_000


class Turn(enum.Enum):
    """What becomes of a request with a held block.

    Attributes:
      SEND: It is sent as a trial.
      WAIT: It waits for its trial.
      HELD: It is no trial.
    """

    SEND = 'send'
    WAIT = 'wait'
    HELD = 'held'


class _Claim(NamedTuple):
    """A peer's claim of a trial."""

    until_ms: int
    server_id: str


class Reset(NamedTuple):
    """A trial whose connection was reset, by a crash or by a live server.

    Args:
      process: The server.
      at_ms: When.
      doubtful: Whether something else may have caused it.
    """

    process: fleet.ServerProcess
    at_ms: int
    doubtful: bool


class _Trial:
    """Trials of one block.

    Attributes:
      confined: Whether it is in doubt, rather than in quarantine.
      crashes: Trials that crashed their server.
      doubtful: Those of them that something else may have crashed, while the
        block was in doubt.
      presumed: Whether crashes was derived from the age of a stored value.
      due_ms: When the next trial may begin, 0 for none.
      request_id: Request that this gateway claims the trial for, '' if none.
      claimed_ms: When it did.
      attempt_id: Its attempt once it is sent, '' before.
      server_id: Server that is reserved for the claimed trial, '' if none.
      reset: What became of the attempt, while it is not known whether its
        server crashed.
      claims_by_host: Claims of peers.
    """

    __slots__ = (
        'confined',
        'crashes',
        'doubtful',
        'presumed',
        'due_ms',
        'request_id',
        'claimed_ms',
        'attempt_id',
        'server_id',
        'reset',
        'claims_by_host',
    )

    def __init__(self, confined: bool, due_ms: int) -> None:
        self.confined = confined
        self.crashes = 0
        self.doubtful = 0
        self.presumed = False
        self.due_ms = due_ms
        self.request_id = ''
        self.claimed_ms = 0
        self.attempt_id = ''
        self.server_id = ''
        self.reset: Reset | None = None
        self.claims_by_host: dict[str, _Claim] = {}


class BlockTrials:
    """Blocks in doubt, and trials of these and of blocks in quarantine.

    Args:
      host_id: Id of the host.
    """

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._by_block: dict[str, _Trial] = {}
        self._released_ms_by_block: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._by_block or self._released_ms_by_block)

    @property
    def confined(self) -> frozenset[str]:
        """Ids of the blocks in doubt."""
        return frozenset(
            block for block, trial in self._by_block.items() if trial.confined
        )

    def confine(
        self, blocks: Collection[str], now_ms: int
    ) -> tuple[list[str], list[str]]:
        """Sets the blocks that are in doubt.

        Returns: Those that were not, and those that are not any more.
        """
        added = [block for block in blocks if block not in self._by_block]
        cleared = [block for block in self.confined if block not in blocks]
        for block in added:
            self.confine_one(block, now_ms)
        for block in cleared:
            del self._by_block[block]
        return added, cleared

    def confine_one(self, block: str, now_ms: int) -> None:
        """Adds a block in doubt, unless it is held already."""
        self._by_block.setdefault(block, _Trial(True, now_ms))

    def is_overdue(self, block: str, now_ms: int) -> bool:
        """Returns whether no fit request came for the trial of a block."""
        trial = self._by_block.get(block)
        if trial is None or not trial.due_ms:
            return False
        return now_ms - trial.due_ms >= OVERDUE_MS

    def hold(self, block: str, now_ms: int, held_ms: int = 0) -> None:
        """Plans the trials of a block in quarantine.

        Args:
          block: The block.
          now_ms: The time.
          held_ms: How long it has been there, if a stored value says so. The
            trials that were due in that time are presumed to have been made.
        """
        known = self._by_block.get(block)
        if known is not None and not known.confined:
            return
        trial = self._by_block[block] = _Trial(False, 0)
        due_ms = now_ms - held_ms
        for number, delay_ms in enumerate(TRIAL_DELAYS_MS):
            due_ms += delay_ms
            if due_ms >= now_ms:
                trial.due_ms = due_ms
                break
            trial.crashes = number + 1
            trial.presumed = True

    def drop(self, block: str) -> None:
        """Ends the trials of a block."""
        self._by_block.pop(block, None)

    def release(self, block: str, now_ms: int) -> None:
        """Records that a block was found sound."""
        self.drop(block)
        self._released_ms_by_block[block] = now_ms

    def released_lately(self, block: str, now_ms: int) -> bool:
        """Returns whether others may not know of a block's release yet."""
        released_ms = self._released_ms_by_block.get(block)
        if released_ms is None:
            return False
        return now_ms - released_ms < RELEASE_GRACE_MS

    def find_confined(self, blocks: Iterable[str]) -> str:
        """Returns the first of some blocks in doubt, '' if none is."""
        if not self._by_block:
            return ''
        confined = self.confined
        return next((block for block in blocks if block in confined), '')

    def take_turn(
        self, block: str, request_id: str, now_ms: int, has_peers: bool
    ) -> Turn:
        """Decides whether a request is the next trial of a block.

        Args:
          block: The block.
          request_id: The request, which may run more than once and has no
            attempt in progress.
          now_ms: The time.
          has_peers: Whether other gateways may claim the trial.
        """
        trial = self._by_block.get(block)
        if trial is None or not trial.due_ms or now_ms < trial.due_ms:
            return Turn.HELD
        if trial.reset or trial.request_id not in ('', request_id):
            return Turn.HELD
        # An attempt that reached no server is made again.
        trial.attempt_id = ''
        if any(
            now_ms < claim.until_ms for claim in trial.claims_by_host.values()
        ):
            return Turn.HELD
        if not trial.request_id:
            trial.request_id = request_id
            trial.claimed_ms = now_ms
        if has_peers and now_ms - trial.claimed_ms < CLAIM_MS:
            return Turn.WAIT
        return Turn.SEND

    def reserve(self, block: str, server_id: str) -> None:
        """Reserves a server for the trial that this gateway claims."""
        self._by_block[block].server_id = server_id

    def reserved_server(self, block: str) -> str:
        """Returns the server of the claimed trial of a block, '' if none."""
        trial = self._by_block.get(block)
        return '' if trial is None else trial.server_id

    def reserved_servers(self, now_ms: int) -> set[str]:
        """Returns the servers that other requests are kept away from."""
        reserved = {trial.server_id for trial in self._by_block.values()}
        for trial in self._by_block.values():
            reserved |= {
                claim.server_id
                for claim in trial.claims_by_host.values()
                if now_ms < claim.until_ms
            }
        return reserved - {''}

    def record_sent(
        self, block: str, request_id: str, attempt_id: str
    ) -> bool:
        """Records an attempt.

        Returns: Whether it is the trial of the block.
        """
        trial = self._by_block.get(block)
        if trial is None or trial.request_id != request_id:
            return False
        trial.attempt_id = attempt_id
        return True

    def is_trial(self, block: str, attempt_id: str) -> bool:
        """Returns whether an attempt is the trial of a block."""
        trial = self._by_block.get(block)
        return trial is not None and trial.attempt_id == attempt_id

    def record_reset(self, block: str, reset: Reset) -> None:
        """Records that the connection of a trial was reset."""
        self._by_block[block].reset = reset

    @property
    def resets(self) -> dict[str, Reset]:
        """Resets of which it is not known whether the server crashed."""
        return {
            block: trial.reset
            for block, trial in self._by_block.items()
            if trial.reset is not None
        }

    def clear_reset(self, block: str) -> None:
        """Ends a trial whose server turned out to be alive."""
        self._by_block[block].reset = None

    def record_crash(self, block: str, now_ms: int) -> int:
        """Records that the trial of a block in quarantine crashed its server.

        Returns: Trials that did so.
        """
        trial = self._by_block[block]
        _end(trial)
        trial.crashes += 1
        trial.presumed = False
        trial.due_ms = 0
        if trial.crashes < len(TRIAL_DELAYS_MS):
            trial.due_ms = now_ms + TRIAL_DELAYS_MS[trial.crashes]
        return trial.crashes

    def record_doubtful(self, block: str, now_ms: int) -> bool:
        """Records a crash that something else may have caused.

        Returns: Whether it counts against the block all the same.
        """
        trial = self._by_block[block]
        _end(trial)
        trial.doubtful += 1
        trial.due_ms = now_ms
        return trial.doubtful >= MAX_DOUBTFUL

    def end_others(
        self,
        request_ids: Collection[str],
        attempt_ids: Collection[str],
        now_ms: int,
    ) -> list[str]:
        """Ends the trials that showed nothing.

        Args:
          request_ids: Requests in progress.
          attempt_ids: Attempts in progress.
          now_ms: The time.
        Returns: Their blocks.
        """
        ended = []
        for block, trial in self._by_block.items():
            if trial.reset is not None or not trial.request_id:
                continue
            if trial.attempt_id in attempt_ids:
                continue
            if not trial.attempt_id and trial.request_id in request_ids:
                continue
            _end(trial)
            trial.due_ms = max(trial.due_ms, now_ms + REPEAT_MS)
            ended.append(block)
        return ended

    def expire(self, now_ms: int) -> None:
        """Removes releases that all gateways know by now."""
        for block in list(self._released_ms_by_block):
            if not self.released_lately(block, now_ms):
                del self._released_ms_by_block[block]

    def describe(self, now_ms: int) -> Iterator[digests.BlockTrial]:
        """Describes the trials for the peers."""
        for block, trial in self._by_block.items():
            yield digests.BlockTrial(
                block,
                trial.crashes,
                max(0, trial.due_ms - now_ms) if trial.due_ms else -1,
                bool(trial.request_id),
                trial.presumed,
                trial.server_id,
                trial.doubtful,
            )

    def describe_releases(self, now_ms: int) -> dict[str, int]:
        """Returns how long ago blocks were released, for the peers."""
        return {
            block: now_ms - released_ms
            for block, released_ms in self._released_ms_by_block.items()
        }

    def merge_remote(
        self, sender: str, reported: digests.BlockTrial, now_ms: int
    ) -> None:
        """Applies a peer's description of its trials of a block."""
        trial = self._by_block.get(reported.block)
        if trial is None:
            return
        trial.doubtful = max(trial.doubtful, reported.doubtful)
        if trial.presumed and not reported.presumed:
            self._adopt(trial, reported, now_ms)
        elif reported.crashes > trial.crashes and not reported.presumed:
            self._adopt(trial, reported, now_ms)
        if reported.claimed:
            self._merge_claim(trial, reported, sender, now_ms)
        else:
            trial.claims_by_host.pop(sender, None)

    def _adopt(
        self, trial: _Trial, reported: digests.BlockTrial, now_ms: int
    ) -> None:
        trial.presumed = False
        trial.crashes = reported.crashes
        due_in_ms = reported.due_in_ms
        trial.due_ms = now_ms + due_in_ms if due_in_ms >= 0 else 0

    def _merge_claim(
        self,
        trial: _Trial,
        reported: digests.BlockTrial,
        sender: str,
        now_ms: int,
    ) -> None:
        block = reported.block
        if trial.request_id and not trial.attempt_id:
            own_rank = prefixes.rendezvous_rank(block, self._host_id)
            if own_rank < prefixes.rendezvous_rank(block, sender):
                return
            _end(trial)
        known = trial.claims_by_host.get(sender)
        # Repeated reports do not prolong it.
        until_ms = now_ms + CLAIM_LIFETIME_MS
        if known is not None:
            until_ms = known.until_ms
        trial.claims_by_host[sender] = _Claim(until_ms, reported.server)


def _end(trial: _Trial) -> None:
    trial.request_id = ''
    trial.attempt_id = ''
    trial.server_id = ''
    trial.reset = None
