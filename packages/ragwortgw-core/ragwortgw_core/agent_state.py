"""The state of an agent process, and the reducer of its handlers.

An agent manages one backend server. It executes the attempts that
entries (the processes that accept callers' requests) send to it, and
reports the backend server's load and health to them.
"""

from typing import Any, NamedTuple

from ragwortgw_core import bill_copies
from ragwortgw_core import config_store
from ragwortgw_core import configuration
from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_core import fencing
from ragwortgw_core import reducer
from ragwortgw_core import requests
from ragwortgw_core import strikes
from ragwortgw_core import version_loading


class Options(NamedTuple):
    """Intervals and timeouts of an agent.

    Args:
      report_interval_ms: Interval between load reports to the entries, ms.
      engine_silence_ms: Time without a report of the backend server after
        which it counts as unhealthy, ms.
      stop_ms: Time to hand over bills after a stop request, ms.
    """

    report_interval_ms: int = 500
    engine_silence_ms: int = 5_000
    stop_ms: int = 60_000


class Attempt(NamedTuple):
    """An attempt in progress; started_at_ms is in Unix ms."""

    dispatch: requests.Dispatch
    entry_id: str
    started_at_ms: int


class EntryView(NamedTuple):
    """A connected entry, and the configuration revision that it holds."""

    entry_id: str
    revision: int


class State:
    """The complete state of an agent process.

    The keys of seen_attempt_ids are the ids of the attempts received most
    recently, oldest first. engine_incarnation identifies the running
    process of the backend server; '' while it is down or silent.
    """

    def __init__(
        self,
        agent_id: str,
        backend: str,
        zone: str,
        versions: tuple[str, ...],
        slots: int,
        options: Options,
    ) -> None:
        self.agent_id = agent_id
        self.backend = backend
        self.zone = zone
        self.options = options
        self.versions = versions
        self.slots = slots
        self.store = config_store.new_store()
        self.attempts_by_id: dict[str, Attempt] = {}
        self.seen_attempt_ids: dict[str, None] = {}
        self.entries_by_id: dict[str, EntryView] = {}
        self.load = requests.Load(0, 0, 0, slots, 0.0)
        self.engine_incarnation = ''
        self.engine_last_seen_at_ms = 0
        self.report_deadline_ms = 0
        self.leaving = False
        self.stop_deadline_ms = 0
        self.fences = fencing.FencingTable()
        self.engine_orders = version_loading.EngineOrderSchedule()
        self.bill_copies = bill_copies.BillCopies()
        self.strikes = strikes.new_strike_tracker()

    @property
    def revision(self) -> int:
        """Revision of the present configuration; 0 if there is none."""
        return self.store.revision

    @property
    def snapshot(self) -> configuration.Snapshot | None:
        """The present configuration; None if there is none."""
        return self.store.snapshot

    @property
    def healthy(self) -> bool:
        """Whether the backend server is up and reports its load."""
        return bool(self.engine_incarnation)


REDUCER: reducer.Reducer[State] = reducer.Reducer()


def new_report(state: State, entry_id: str = '') -> effects.Report:
    """Builds a report of load and state.

    Args:
      state: The agent's state.
      entry_id: The entry that gets the report; '' for all of them.
    Returns: The effect that sends it.
    """
    draining = bool(
        state.snapshot and state.backend in state.snapshot.drains_by_id
    )
    return effects.Report(
        entry_id,
        state.load,
        state.versions,
        state.healthy,
        draining or state.leaving,
        state.revision,
    )


def count_attempt(outcome: str) -> effects.Count:
    """Builds the effect that counts an attempt by its outcome."""
    return effects.Count('agent_attempts', (('outcome', outcome),))


def exit_when_idle(state: State, stamp: events.Stamp) -> list[Any]:
    """Exits a stopping agent once no attempt or bill copy remains.

    Running attempts are always finished. Bill copies that no entry has
    confirmed are abandoned at the stop deadline.
    """
    if not state.leaving or state.attempts_by_id:
        return []
    if len(state.bill_copies) and stamp.now_ms < state.stop_deadline_ms:
        return []
    return [effects.Exit()]
