"""The state of an entry process, and the reducers of its handlers.

REDUCER handles the events that the process receives, NOTICE_REDUCER the
notices that components of the state return among their effects.
"""

import collections
from typing import Any, NamedTuple

from ragwortgw_core import billing
from ragwortgw_core import budgets
from ragwortgw_core import cascades
from ragwortgw_core import config_rewrite
from ragwortgw_core import config_store
from ragwortgw_core import documents
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import evidence
from ragwortgw_core import hosts
from ragwortgw_core import ledger
from ragwortgw_core import limits
from ragwortgw_core import membership
from ragwortgw_core import orders
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import quality
from ragwortgw_core import queueing
from ragwortgw_core import recent_sessions
from ragwortgw_core import reducer
from ragwortgw_core import reports
from ragwortgw_core import requests
from ragwortgw_core import rollout_driver
from ragwortgw_core import routing
from ragwortgw_core import strikes
from ragwortgw_core import sweeper


#: Execution states of a request, in the order in which they may change.
RAN_ORDER: tuple[errors.Ran, ...] = ('no', 'unknown', 'yes')


class Options(NamedTuple):
    """Limits and timeouts of an entry.

    Args:
      agent_subset: The most agents to be connected to.
      stop_ms: Time to finish running work after a stop request, ms.
      rating_timeout_ms: Time to wait for a rating, ms.
      hosts_interval_ms: Interval between reads of the host list, ms.
      rating_share: Fraction of the delivered answers that is rated, 0..1.
      max_attempts: The most attempts of a request that may have run.
      max_refusals: The most attempts of a request that agents refused.
      bootstrap_hash: Hash of the bootstrap operator key, which has the role
        'administer' under any configuration, also before the first one; ''
        if there is none.
      stale_limit_ms: Age from which an unconfirmed configuration is
        reported as stale, ms.
    """

    agent_subset: int = 64
    stop_ms: int = 60_000
    rating_timeout_ms: int = 1_000
    hosts_interval_ms: int = 2_000
    rating_share: float = 1.0
    max_attempts: int = 3
    max_refusals: int = 8
    bootstrap_hash: str = ''
    stale_limit_ms: int = 15_000


class AgentView:
    """An agent as this entry sees it.

    attempt_ids are this entry's attempts in progress at the agent.
    prefixes are the prompt prefixes that its backend server is expected to
    have cached, the oldest first; the values are unused.
    """

    __slots__ = (
        'agent_id',
        'backend',
        'zone',
        'versions',
        'slots',
        'load',
        'healthy',
        'draining',
        'revision',
        'attempt_ids',
        'load_tracker',
        'prefixes',
    )

    def __init__(self, event: events.AgentConnected) -> None:
        self.agent_id = event.agent_id
        self.backend = event.backend
        self.zone = event.zone
        self.versions = event.versions
        self.slots = event.slots
        self.load = requests.Load(0, 0, 0, event.slots, 0.0)
        self.healthy = True
        self.draining = False
        self.revision = event.revision
        self.attempt_ids: set[str] = set()
        self.load_tracker = routing.AgentLoadTracker()
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def begin_attempt(self, attempt_id: str, now_ms: int) -> None:
        """Records that an attempt is sent to the agent."""
        self.attempt_ids.add(attempt_id)
        self.load_tracker.record_dispatched(now_ms)

    def end_attempt(self, attempt_id: str, now_ms: int) -> None:
        """Records the end of an attempt; a second call has no effect."""
        if attempt_id in self.attempt_ids:
            self.attempt_ids.remove(attempt_id)
            self.load_tracker.record_ended(now_ms)


class FinishedStage(NamedTuple):
    """A finished stage of a request: its answer, cost and rating.

    score is None while there is no rating.
    """

    version: str
    answer: requests.Answer
    cost_micros: int
    score: float | None = None


class ActiveRequest:
    """A request in progress at an entry.

    phase is one of 'claiming' (its idempotency key is being claimed in the
    ledger), 'queued', 'running' and 'rating'. A detached request has no
    caller any more: it was answered or the caller is gone, but its call,
    which may not be repeated, is still claimed or running. relaying is set
    once parts of a stream were sent to the caller. ran says whether any
    attempt was executed; stages holds the finished stages, stage_index is
    that of the present stage in the plan. needed_revision is the revision
    of an agent that refused an attempt because its configuration is newer;
    no attempt is made before the entry holds that revision.
    """

    __slots__ = (
        'request',
        'organisation',
        'model',
        'cascade',
        'repeatable',
        'priority',
        'session',
        'session_token',
        'plan',
        'stage_index',
        'stages',
        'phase',
        'attempt_id',
        'agent_id',
        'backend',
        'version',
        'moved',
        'attempts',
        'refusals',
        'ran',
        'relaying',
        'resume_offset',
        'detached',
        'avoid_until_ms_by_agent',
        'needed_revision',
        'received_at_ms',
        'attempt_at_ms',
        'item',
    )

    def __init__(
        self,
        request: requests.Request,
        organisation: documents.Organisation,
        model: str,
        cascade: documents.Cascade | None,
        repeatable: bool,
        priority: documents.Priority,
        now_ms: int,
    ) -> None:
        self.request = request
        self.organisation = organisation
        self.model = model
        self.cascade = cascade
        self.repeatable = repeatable
        self.priority = priority
        self.session = request.session
        self.session_token = ''
        self.plan: cascades.Plan | None = None
        self.stage_index = 0
        self.stages: list[FinishedStage] = []
        self.phase = 'queued'
        self.attempt_id = ''
        self.agent_id = ''
        self.backend = ''
        self.version = ''
        self.moved = False
        self.attempts = 0
        self.refusals = 0
        self.ran: errors.Ran = 'no'
        self.relaying = False
        self.resume_offset = 0
        self.detached = False
        self.avoid_until_ms_by_agent: dict[str, int] = {}
        self.needed_revision = 0
        self.received_at_ms = now_ms
        self.attempt_at_ms = 0
        self.item: queueing.Item | None = None

    def record_ran(self, ran: errors.Ran) -> None:
        """Records whether an attempt was executed.

        The request's state only ever moves on in RAN_ORDER: a later attempt
        that was not executed does not undo an earlier one that was.
        """
        if RAN_ORDER.index(ran) > RAN_ORDER.index(self.ran):
            self.ran = ran

    @property
    def current_model(self) -> str:
        """The model id of the present stage."""
        if self.plan is None:
            return self.model
        return self.plan.stages[self.stage_index]

    @property
    def final_stage(self) -> bool:
        """Whether the present stage is the last one of the plan."""
        return (
            self.plan is None or self.stage_index == len(self.plan.stages) - 1
        )


class PendingRating(NamedTuple):
    """A rating that was requested, and what it will be used for.

    request_id is '' when the answer has already been delivered and the
    rating is used for learning only; for an answer of a cascade the
    record of that answer is then kept here, else it is None.
    """

    request_id: str
    organisation: str
    request_class: str
    model: str
    version: str
    recorded_answer: cascades.RecordedAnswer | None = None


class State:
    """The complete state of an entry process."""

    def __init__(
        self,
        entry_id: str,
        incarnation: str,
        zone: str,
        region: str,
        options: Options,
    ) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.zone = zone
        self.region = region
        self.options = options
        self.budget = budgets.new_platform_budget(1)
        self.platform_calls = platform_calls.PlatformCalls(self.budget)
        self.store = config_store.new_store(self.platform_calls)
        self.orders = orders.new_order_processor(
            self.platform_calls, self.store
        )
        self.rewriter = config_rewrite.new_rewriter(
            self.platform_calls, self.store
        )
        self.ledger = ledger.new_ledger(self.platform_calls)
        self.sweeper = sweeper.new_sweeper(self.platform_calls)
        self.bills = billing.new_bill_buffer(self.platform_calls)
        self.reports = reports.Reports(self.platform_calls, self.store)
        self.membership = membership.new_membership(
            membership.EntryLocation(entry_id, zone, region),
            options.agent_subset,
        )
        self.hosts = hosts.HostListPoller(
            self.platform_calls,
            options.hosts_interval_ms,
            self.on_hosts,
        )
        self.strikes = strikes.new_strike_tracker(self.platform_calls)
        self.queue = queueing.FairQueue()
        self.limits = limits.OrganisationLimits()
        self.retries = limits.RetryBudget()
        self.quality = quality.QualityEstimator()
        self.evidence = evidence.VersionEvidence(incarnation)
        self.driver = rollout_driver.RolloutDriver(
            self.platform_calls,
            entry_id,
            incarnation,
            self.evidence,
            self.orders.submit,
        )
        self.agents_by_id: dict[str, AgentView] = {}
        self.requests_by_id: dict[str, ActiveRequest] = {}
        self.request_ids_by_attempt: dict[str, str] = {}
        self.ratings_by_op: dict[int, PendingRating] = {}
        self.next_rating = 1
        self.sessions = recent_sessions.RecentSessions()
        self.agent_ids_by_bill: dict[str, str] = {}
        self.stale = False
        self.configuration_since_ms = 0
        self.stopping = False
        self.stop_deadline_ms = 0

    def on_hosts(
        self, stamp: events.Stamp, host_list: tuple[platform.HostEntry, ...]
    ) -> list[Any]:
        """Applies a new host list.

        Divides rates and the call budget by the number of entries, and
        updates the set of agents to be connected to.
        """
        budgets.resize_platform_budget(self.budget, self.entry_count)
        self.store.set_entry_count(self.entry_count)
        self.rewriter.set_entry_count(self.entry_count)
        self.bills.set_entry_count(self.entry_count)
        self.sweeper.set_entry_count(self.entry_count)
        self.driver.set_entry_count(self.entry_count)
        busy_agent_ids = frozenset(
            agent_id
            for agent_id, agent in self.agents_by_id.items()
            if agent.attempt_ids
        )
        return self.membership.apply_host_list(
            stamp, host_list, busy_agent_ids
        )

    @property
    def entry_count(self) -> int:
        """Number of entries that share the limits and the call budget."""
        return max(1, self.hosts.count('entry'))


REDUCER: reducer.Reducer[State] = reducer.Reducer()
NOTICE_REDUCER: reducer.Reducer[State] = reducer.Reducer()


def apply_notices(
    state: State, stamp: events.Stamp, outputs: list[Any]
) -> list[Any]:
    """Handles the notices among a component's outputs.

    Args:
      state: The entry's state.
      stamp: Time and randomness of the event.
      outputs: Effects and notices that a component returned.
    Returns: The effects; each notice is replaced by the effects of
      handling it.
    """
    return NOTICE_REDUCER.expand_notices(state, stamp, outputs)
