"""Finds the prefix block whose requests crash backend servers.

A server may crash as it begins to answer any prompt that holds a certain
block. The requests differ, come at all gateways and belong to many clients,
so that none of them stands out by itself. A crash also breaks all innocent
requests at its server. The blocks are told apart by what happens to other
requests that have them:

 * A block is cleared of all crashes before the last answer that began with
   it and went on.
 * Servers that die together, such as on a loss of power, are one wave and
   count once: a further one counts only if its request was sent after the
   wave before.
 * The block that explains most crashes is the culprit, and what it explains
   speaks against no other block. Of blocks that explain equally many, it is
   the last one in the prompt, which fewest other requests have; a request
   that alone explains as many is the culprit by itself.
"""

import collections
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import NamedTuple

from ragwortgw_gateway import block_statistics
from ragwortgw_gateway import digests
from ragwortgw_gateway import fleet

#: How long a crash counts against a block; requests come every few seconds.
CRASH_LIFETIME_MS = 60_000
#: Servers that have to crash, and in how many waves, for a culprit.
MIN_CRASHES = 3
MIN_ROUNDS = 2
#: Crashes after which a block is in doubt, whatever explains them as well.
MAX_UNEXPLAINED_CRASHES = 5
#: Servers that crash within this time of the first one are one wave. Some of
#: what they ran was sent only moments before, and says nothing more.
WAVE_MS = 150
#: Crashes after which a request that is sent again explains them by itself.
MIN_REQUEST_CRASHES = 2
#: An answer that goes on for this long after its first event does not crash
#: its server any more.
SOUND_AFTER_MS = 2_000
#: Attempts break this much later than the server ends, at a slow gateway.
BREAK_SPREAD_MS = 1_000
#: A crash that no refused connection confirms counts after this time, unless
#: the server sends anything meanwhile. What it sent before may be read later
#: by up to the second time.
CONFIRM_MS = 1_000
READ_DELAY_MS = 500
#: Inaccuracy of times that peers report.
TIME_SLACK_MS = 100
#: Crashes that one gateway remembers, and attempts of each.
MAX_CRASHES = 256
MAX_SUSPECTS = 64
#: Blocks whose sound answers are remembered.
MAX_SOUND_BLOCKS = 4_096
#: Bytes of block ids in one report, whose datagram holds some more.
MAX_REPORT_BYTES = 40_000
#: Observer of what this gateway has seen itself.
LOCAL = ''


class Suspect(NamedTuple):
    """An attempt that may have crashed its server.

    Args:
      sent_ms: When it was sent.
      fingerprint: Hash of the request.
      blocks: Ids of the blocks that other requests may share, in order.
    """

    sent_ms: int
    fingerprint: int
    blocks: tuple[str, ...]


class _Crash:
    """A crash of one server as one gateway saw it."""

    def __init__(self, at_ms: int) -> None:
        self.at_ms = at_ms
        self.confirmed = False
        self.suspects: list[Suspect] = []


class _Event(NamedTuple):
    """A crash as all gateways together saw it."""

    at_ms: int
    suspects: tuple[Suspect, ...]


class _Trait(NamedTuple):
    """What suspects may have in common: a block, or the whole request."""

    block: str
    fingerprint: int = 0


class _Charge(NamedTuple):
    """The crashes that a trait would explain.

    Args:
      crashes: Their number.
      rounds: Waves in which its requests crashed servers, each sent after
        the wave before.
      depth: Position of the block in the prompt; the whole request comes
        after all blocks.
    """

    crashes: int
    rounds: int
    depth: int


class CrashEvidence:
    """Crashes of backend servers, and the attempts that may have caused them.

    Args:
      is_alive: Returns whether a server's process has sent anything since a
        time in ms.
    """

    def __init__(
        self, is_alive: Callable[[fleet.ServerProcess, int], bool]
    ) -> None:
        self._is_alive = is_alive
        self._crashes: collections.OrderedDict[
            tuple[str, fleet.ServerProcess], _Crash
        ] = collections.OrderedDict()
        #: When the last sound answer with a block began, and its observer.
        self._sound_by_block: collections.OrderedDict[str, tuple[int, str]] = (
            collections.OrderedDict()
        )

        #: Charges of all crashes at a time, None after a change.
        self._charged: tuple[int, dict[_Trait, _Charge]] | None = None

    def __bool__(self) -> bool:
        return bool(self._crashes)

    def record_broken(
        self, process: fleet.ServerProcess, suspect: Suspect, now_ms: int
    ) -> bool:
        """Records an attempt that the end of its server may have broken.

        Args:
          process: The server.
          suspect: The attempt.
          now_ms: The time.
        Returns: Whether it is the first one of a crash.
        """
        self._charged = None
        key = (LOCAL, process)
        crash = self._crashes.get(key)
        if crash is not None and now_ms - crash.at_ms > BREAK_SPREAD_MS:
            # It cannot have ended the first time.
            crash = None
        first = crash is None
        if crash is None:
            crash = self._crashes[key] = _Crash(now_ms)
            self._crashes.move_to_end(key)
            while len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        if len(crash.suspects) < MAX_SUSPECTS:
            crash.suspects.append(suspect)
        return first

    def confirm(self, process: fleet.ServerProcess) -> bool:
        """Records that a server refused a connection.

        Returns: Whether that confirms a crash which was not confirmed.
        """
        crash = self._crashes.get((LOCAL, process))
        if crash is None or crash.confirmed:
            return False
        crash.confirmed = True
        self._charged = None
        return True

    def is_confirmed(self, process: fleet.ServerProcess) -> bool:
        """Returns whether a server refused a connection after a crash."""
        return any(
            crash.confirmed
            for (_, each), crash in self._crashes.items()
            if each == process
        )

    def record_sound(
        self, blocks: Iterable[str], began_ms: int, observer: str = LOCAL
    ) -> bool:
        """Records that an answer to a prompt with these blocks went on.

        Args:
          blocks: Ids of the blocks.
          began_ms: When the answer began.
          observer: Host id of the gateway that saw it.
        Returns: Whether that clears a block of a crash.
        """
        cleared = False
        for block in blocks:
            known_ms, _ = self._sound_by_block.get(block, (0, LOCAL))
            if began_ms <= known_ms or not self._is_charged(block, known_ms):
                continue
            cleared = True
            self._charged = None
            self._sound_by_block[block] = (began_ms, observer)
            self._sound_by_block.move_to_end(block)
        while len(self._sound_by_block) > MAX_SOUND_BLOCKS:
            self._sound_by_block.popitem(last=False)
        return cleared

    def _is_charged(self, block: str, sound_ms: int) -> bool:
        return any(
            crash.at_ms > sound_ms and block in suspect.blocks
            for crash in self._crashes.values()
            for suspect in crash.suspects
        )

    def merge_remote(self, report: digests.CrashReport, now_ms: int) -> None:
        """Adds what a peer has seen."""
        self._charged = None
        for seen in report.crashes:
            process = fleet.ServerProcess(seen.server, seen.started_ms)
            crash = _Crash(now_ms - max(0, seen.age_ms))
            crash.confirmed = seen.confirmed
            crash.suspects = [
                Suspect(now_ms - max(0, age_ms), fingerprint, blocks)
                for age_ms, fingerprint, blocks in seen.suspects
            ]
            self._crashes[(report.sender, process)] = crash
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        for block, age_ms in report.sound_ages_ms.items():
            self.record_sound((block,), now_ms - max(0, age_ms), report.sender)

    def expire(self, now_ms: int) -> None:
        """Removes crashes that are older than CRASH_LIFETIME_MS."""
        oldest_ms = now_ms - CRASH_LIFETIME_MS
        for key, crash in list(self._crashes.items()):
            if crash.at_ms < oldest_ms:
                del self._crashes[key]
                self._charged = None
        if not self._crashes:
            self._sound_by_block.clear()

    def forget(self, block: str) -> None:
        """Removes all attempts with a block from the crashes."""
        self._charged = None
        for crash in self._crashes.values():
            crash.suspects = [
                suspect
                for suspect in crash.suspects
                if block not in suspect.blocks
            ]

    def local_crashes(
        self, now_ms: int, max_age_ms: int
    ) -> tuple[digests.ServerCrash, ...]:
        """Returns the latest crashes that this gateway saw, for its peers.

        The newest come first; those beyond MAX_REPORT_BYTES are left out.
        """
        reported = []
        size_bytes = 0
        for (observer, process), crash in reversed(self._crashes.items()):
            if observer != LOCAL or now_ms - crash.at_ms > max_age_ms:
                continue
            size_bytes += _size_bytes(crash)
            if size_bytes > MAX_REPORT_BYTES:
                break
            suspects = tuple(
                digests.BrokenAttempt(
                    now_ms - suspect.sent_ms,
                    suspect.fingerprint,
                    suspect.blocks,
                )
                for suspect in crash.suspects
            )
            reported.append(
                digests.ServerCrash(
                    *process, now_ms - crash.at_ms, crash.confirmed, suspects
                )
            )
        return tuple(reported)

    def local_sound_ages_ms(
        self, now_ms: int, max_age_ms: int
    ) -> dict[str, int]:
        """Returns how long ago sound answers began here, by block."""
        return {
            block: now_ms - began_ms
            for block, (began_ms, observer) in self._sound_by_block.items()
            if observer == LOCAL and now_ms - began_ms <= max_age_ms
        }

    def find_culprits(
        self, now_ms: int, known_blocks: Collection[str]
    ) -> list[str]:
        """Finds the blocks that crash servers.

        Args:
          now_ms: The time.
          known_blocks: Blocks that are known to crash servers.
        Returns: Further blocks, those that explain most crashes first.
        """
        if not self._crashes:
            return []
        unexplained = self._unexplained(now_ms, known_blocks)
        culprits: list[str] = []
        while len(unexplained) >= MIN_REQUEST_CRASHES:
            culprit = self._find_culprit(unexplained)
            if culprit is None:
                break
            if culprit.block:
                culprits.append(culprit.block)
            unexplained = [
                event
                for event in unexplained
                if not any(
                    _has(suspect, culprit) for suspect in event.suspects
                )
            ]
        return culprits

    def frequent(
        self, now_ms: int, known_blocks: Collection[str]
    ) -> list[str]:
        """Returns blocks without sound answers since many crashes.

        Where several faults come together, no block explains more crashes
        than all others.

        Args: As for find_culprits().
        """
        if len(self._crashes) < MAX_UNEXPLAINED_CRASHES:
            return []
        charges = self._charges(self._unexplained(now_ms, known_blocks))
        return [
            trait.block
            for trait, charge in charges.items()
            if trait.block
            and charge.crashes >= MAX_UNEXPLAINED_CRASHES
            and _is_enough(trait, charge)
        ]

    def _unexplained(
        self, now_ms: int, known_blocks: Collection[str]
    ) -> list[_Event]:
        """Returns the crashes at which no known block was broken."""
        return [
            event
            for event in self._events(now_ms)
            if not any(
                block in known_blocks
                for suspect in event.suspects
                for block in suspect.blocks
            )
        ]

    def suspected(self, blocks: Iterable[str], now_ms: int) -> list[str]:
        """Returns those of some blocks that several crashes count against."""
        if not self._crashes:
            return []
        charges = self._all_charges(now_ms)
        none = _Charge(0, 0, 0)
        return [
            block
            for block in blocks
            if charges.get(_Trait(block), none).crashes >= MIN_REQUEST_CRASHES
        ]

    def rivals(self, block: str, now_ms: int) -> list[str]:
        """Returns the blocks that explain as many crashes as a culprit."""
        charges = self._all_charges(now_ms)
        culprit = charges.get(_Trait(block))
        return [
            trait.block
            for trait, charge in charges.items()
            if culprit is not None
            and trait.block
            and charge.crashes >= culprit.crashes
            and _is_enough(trait, charge)
        ]

    def suspected_blocks(self) -> list[str]:
        """Returns the blocks of broken attempts, the latest ones first."""
        blocks: dict[str, None] = {}
        for crash in reversed(self._crashes.values()):
            for suspect in crash.suspects:
                blocks.update(dict.fromkeys(suspect.blocks))
        return list(blocks)

    def waves(self, block: str, now_ms: int) -> list[block_statistics.Wave]:
        """Returns the waves of crashes since the last sound answer of a block.

        A request that is sent again after a crash is no further evidence:
        the block has to come with another one, sent after the wave before.
        """
        sound_ms, _ = self._sound_by_block.get(block, (0, LOCAL))
        counted = [
            event for event in self._events(now_ms) if event.at_ms > sound_ms
        ]
        suspects_by_wave: dict[int, list[Suspect]] = {}
        ends_ms: dict[int, int] = {0: 0}
        for wave, event in _number_waves(counted):
            suspects_by_wave.setdefault(wave, []).extend(event.suspects)
            ends_ms[wave] = event.at_ms
        known: set[int] = set()
        found = []
        for wave, suspects in suspects_by_wave.items():
            since_ms = ends_ms[wave - 1] - TIME_SLACK_MS
            held = any(
                block in each.blocks
                and each.fingerprint not in known
                and each.sent_ms >= since_ms
                for each in suspects
            )
            fingerprints = {each.fingerprint for each in suspects}
            known |= fingerprints
            found.append(block_statistics.Wave(len(fingerprints), held))
        return found

    def _all_charges(self, now_ms: int) -> dict[_Trait, _Charge]:
        """Returns the charges of all crashes, computed once at each time."""
        if self._charged is None or self._charged[0] != now_ms:
            self._charged = (now_ms, self._charges(self._events(now_ms)))
        return self._charged[1]

    def _events(self, now_ms: int) -> list[_Event]:
        """Returns the crashes that count, by time."""
        crashes_by_process: dict[fleet.ServerProcess, list[_Crash]] = {}
        for (_, process), crash in self._crashes.items():
            crashes_by_process.setdefault(process, []).append(crash)
        found = []
        for process, crashes in crashes_by_process.items():
            at_ms = min(crash.at_ms for crash in crashes)
            if self._is_alive(process, at_ms + READ_DELAY_MS):
                continue
            confirmed = any(crash.confirmed for crash in crashes)
            if confirmed or now_ms - at_ms >= CONFIRM_MS:
                suspects = tuple(
                    suspect for crash in crashes for suspect in crash.suspects
                )
                found.append(_Event(at_ms, suspects))
        return sorted(found)

    def _find_culprit(self, crashes: list[_Event]) -> _Trait | None:
        """Returns what explains most of some crashes, None if unclear."""
        charges = self._charges(crashes)
        if not charges:
            return None
        culprit, charge = max(
            charges.items(),
            key=lambda item: (item[1].crashes, item[1].depth),
        )
        if not _is_enough(culprit, charge):
            return None
        rivals = [
            trait
            for trait, other in charges.items()
            if other.crashes == charge.crashes
        ]
        # Traits of other requests explain the crashes as well.
        if not all(_accompanies(rival, culprit, crashes) for rival in rivals):
            return None
        return culprit

    def _charges(self, crashes: list[_Event]) -> dict[_Trait, _Charge]:
        """Returns the crashes that each trait would explain."""
        charges: dict[_Trait, _Charge] = {}
        last_ms: dict[_Trait, int] = {}
        last_wave: dict[_Trait, int] = {}
        for wave, event in _number_waves(crashes):
            sent_ms: dict[_Trait, int] = {}
            depths: dict[_Trait, int] = {}
            for suspect in event.suspects:
                for depth, trait in enumerate(_traits(suspect)):
                    sent_ms[trait] = max(
                        sent_ms.get(trait, 0), suspect.sent_ms
                    )
                    depths[trait] = max(depths.get(trait, 0), depth)
            for trait, latest_ms in sent_ms.items():
                sound_ms, _ = self._sound_by_block.get(trait.block, (0, LOCAL))
                if event.at_ms <= sound_ms:
                    continue
                known = charges.get(trait, _Charge(0, 0, 0))
                rounds = known.rounds
                before_ms = last_ms.get(trait, 0)
                if wave == last_wave.get(trait):
                    last_ms[trait] = event.at_ms
                elif latest_ms >= before_ms - TIME_SLACK_MS:
                    rounds += 1
                    last_ms[trait] = event.at_ms
                    last_wave[trait] = wave
                charges[trait] = _Charge(
                    known.crashes + 1, rounds, max(known.depth, depths[trait])
                )
        return charges


def _number_waves(crashes: list[_Event]) -> Iterator[tuple[int, _Event]]:
    """Numbers the crashes, which are in order of time, by their wave."""
    wave = 0
    began_ms = 0
    for event in crashes:
        if event.at_ms > began_ms + WAVE_MS:
            wave += 1
            began_ms = event.at_ms
        yield wave, event


def _size_bytes(crash: _Crash) -> int:
    return sum(
        len(block.encode())
        for suspect in crash.suspects
        for block in suspect.blocks
    )


def _traits(suspect: Suspect) -> tuple[_Trait, ...]:
    """Returns the traits of an attempt, the whole request last."""
    blocks = tuple(_Trait(block) for block in suspect.blocks)
    return (*blocks, _Trait('', suspect.fingerprint))


def _has(suspect: Suspect, trait: _Trait) -> bool:
    if trait.block:
        return trait.block in suspect.blocks
    return suspect.fingerprint == trait.fingerprint


def _is_enough(trait: _Trait, charge: _Charge) -> bool:
    """Returns whether crashes suffice to call a trait their cause."""
    if not trait.block:
        return charge.crashes >= MIN_REQUEST_CRASHES
    return charge.crashes >= MIN_CRASHES and charge.rounds >= MIN_ROUNDS


def _accompanies(
    trait: _Trait, culprit: _Trait, crashes: list[_Event]
) -> bool:
    """Returns whether a trait occurs with the culprit in some attempt."""
    return any(
        _has(suspect, trait) and _has(suspect, culprit)
        for event in crashes
        for suspect in event.suspects
    )
