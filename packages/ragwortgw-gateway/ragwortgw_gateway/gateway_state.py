"""The state of a gateway and the reducers that its handlers register with.

Handlers take the state, the time and an event, change the state in place
and return effects; they do no input or output themselves.
"""

from typing import Any, NamedTuple

from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_core import platform_calls
from ragwortgw_core import reducer
from ragwortgw_gateway import block_statistics
from ragwortgw_gateway import block_trials
from ragwortgw_gateway import cold_servers
from ragwortgw_gateway import crash_evidence
from ragwortgw_gateway import crashes
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import evacuations
from ragwortgw_gateway import fleet
from ragwortgw_gateway import formats as store_formats
from ragwortgw_gateway import gateway_ring
from ragwortgw_gateway import homes
from ragwortgw_gateway import latency_estimates
from ragwortgw_gateway import loads
from ragwortgw_gateway import options as limits
from ragwortgw_gateway import outlier_ejection
from ragwortgw_gateway import placement
from ragwortgw_gateway import prefixes
from ragwortgw_gateway import quarantine
from ragwortgw_gateway import queue_waits
from ragwortgw_gateway import rate_limits
from ragwortgw_gateway import refusal_history
from ragwortgw_gateway import report_ages
from ragwortgw_gateway import report_schedule
from ragwortgw_gateway import requests
from ragwortgw_gateway import retry_budget
from ragwortgw_gateway import rollouts
from ragwortgw_gateway import routes
from ragwortgw_gateway import server_backoff
from ragwortgw_gateway import session_versions
from ragwortgw_gateway import shares
from ragwortgw_gateway import stopping
from ragwortgw_gateway import store_link
from ragwortgw_gateway import store_watch
from ragwortgw_gateway import tiers

#: A peer whose last digest is older than this is taken to be dead.
PEER_LIFETIME_MS = 2_500
#: Attempts that broke in one crash of a server go into one report.
CRASH_REPORT_DELAY_MS = 50
#: Shortest time between two reports on crashes.
CRASH_REPORT_INTERVAL_MS = 250
#: Time after which a report is sent once more, since datagrams get lost.
CRASH_REPORT_REPEAT_MS = 1_000
#: Shortest time between two reports on trials of blocks.
BLOCK_REPORT_INTERVAL_MS = 50
BLOCK_REPORT_REPEAT_MS = 1_000
#: The same times of reports on limits of servers.
LIMIT_REPORT_INTERVAL_MS = 100
LIMIT_REPORT_REPEAT_MS = 1_000
#: Range of the priorities that backend servers accept, most urgent first.
FIRST_URGENCY = 0
LAST_URGENCY = 9
#: Urgencies for each priority of an organisation; requests of the same
#: priority are ranked by their route.
URGENCIES_PER_PRIORITY = 3


class Attempt:
    """An attempt in progress: one request sent to one backend server.

    Attributes:
      id: Unique in the process.
      server: The backend server.
      model: Model to run, '' for a plain request.
      final: Whether the answer is delivered whatever its confidence.
      candidate: Whether it goes to the candidate version of a roll-out,
        None if no roll-out of the service is known.
      server_choice: The chosen server with the estimates behind it.
      expected_ms: Estimated time until the first byte of the answer.
      sent_ms: When it was sent.
      answered_ms: When the head of the answer arrived, 0 before.
      advanced_ms: When the latest events of the answer arrived.
      events: Events of its answer so far.
      delivered: Whether pieces of its answer go to the caller.
      held_up_ms: When its server was last not read since the caller did not
        read, 0 for never.
      timed: Whether it counts as slow or in time for a roll-out.
    """

    __slots__ = (
        'id',
        'server',
        'model',
        'final',
        'candidate',
        'server_choice',
        'expected_ms',
        'sent_ms',
        'answered_ms',
        'advanced_ms',
        'events',
        'delivered',
        'held_up_ms',
        'timed',
    )

    def __init__(
        self,
        attempt_id: str,
        server_choice: placement.ServerChoice,
        model_choice: tiers.ModelChoice | None,
        candidate: bool | None,
        now_ms: int,
    ) -> None:
        self.id = attempt_id
        self.server = server_choice.server
        self.model = '' if model_choice is None else model_choice.model
        self.final = model_choice is None or model_choice.final
        self.candidate = candidate
        self.server_choice = server_choice
        self.expected_ms = server_choice.forecast.first_byte_ms
        self.sent_ms = now_ms
        self.answered_ms = 0
        self.advanced_ms = 0
        self.events = 0
        self.delivered = False
        self.held_up_ms = 0
        self.timed = False


class ActiveRequest:
    """A request that has no final answer yet.

    Attributes:
      request: The request.
      route: Its route.
      service: The service that it goes to.
      organisation: Owner of its key.
      priority: Its rank, 0 is the most urgent.
      home_regions: Regions in which it may be served, None for all.
      classes: Classes of requests that it belongs to.
      admitted: Whether it was admitted.
      keeps_share: Whether it was admitted only since one of its classes had
        had less than its share.
      attempts_by_id: Attempts in progress.
      attempts_sent: All attempts, in progress or finished.
      executions: Finished attempts that a server ran or may have run.
      refusals: Attempts that a server refused without running them.
      connect_failures: Attempts at servers that refused the connection, so
        that the request reached no server.
      excluded_servers: Ids of servers that failed or refused it.
      model_choice: Model of the next attempt, None before the first.
      streaming: Whether an answer in pieces has begun to go to the caller.
      passed_on: Whether that is a plain one, which no other attempt can
        continue.
      last_event_id: Id of the last event that the caller has, 0 for none.
      fallback_answer: A failure that a backend server answered with; the
        caller gets it if no attempt succeeds. None before.
      deadline_ms: When the caller gets a final answer at the latest.
      retry_ms: When to dispatch it again, 0 if no retry is scheduled.
      trial_block: Block that its next attempt tries, '' if it is no trial.
      reason: Why the last attempt failed, a label of metrics.
      last_failure: The reason with details, for the log.
    """

    __slots__ = (
        'request',
        'route',
        'service',
        'organisation',
        'priority',
        'home_regions',
        'classes',
        'admitted',
        'keeps_share',
        'attempts_by_id',
        'attempts_sent',
        'executions',
        'refusals',
        'connect_failures',
        'excluded_servers',
        'model_choice',
        'streaming',
        'passed_on',
        'last_event_id',
        'fallback_answer',
        'deadline_ms',
        'retry_ms',
        'trial_block',
        'reason',
        'last_failure',
    )

    def __init__(
        self,
        request: requests.Request,
        route: documents.Route,
        service: str,
        organisation: documents.Organisation | None,
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.organisation = '' if organisation is None else organisation.id
        self.priority = route.priority
        if organisation is not None and organisation.priority is not None:
            self.priority = organisation.priority
        self.home_regions = homes.home_regions(route, organisation)
        self.classes = shares.classify(request, route, self.organisation)
        self.admitted = False
        self.keeps_share = False
        self.attempts_by_id: dict[str, Attempt] = {}
        self.attempts_sent = 0
        self.executions = 0
        self.refusals = 0
        self.connect_failures = 0
        self.excluded_servers: set[str] = set()
        self.model_choice: tiers.ModelChoice | None = None
        self.streaming = False
        self.passed_on = False
        self.last_event_id = request.resumed_after
        self.fallback_answer: requests.Answer | None = None
        self.deadline_ms = min(
            request.deadline_ms, request.received_ms + route.timeout_ms
        )
        self.retry_ms = 0
        self.trial_block = ''
        self.reason = ''
        self.last_failure = ''

    def set_failure(self, reason: str, details: str = '') -> None:
        """Records why the request has no answer yet.

        Args:
          reason: Label of metrics, from a small fixed set.
          details: Further details for the log.
        """
        self.reason = reason
        self.last_failure = f'{reason} {details}'.rstrip()

    @property
    def urgency(self) -> int:
        """Its priority at the backend server, 0 is the most urgent.

        A request that is admitted for the share of its class is as urgent as
        any: behind the more urgent ones it would wait for ever.
        """
        if self.keeps_share:
            return FIRST_URGENCY
        return min(
            LAST_URGENCY,
            FIRST_URGENCY
            + URGENCIES_PER_PRIORITY * self.priority
            + min(self.route.priority, URGENCIES_PER_PRIORITY - 1),
        )

    @property
    def queue(self) -> queue_waits.Queue:
        """Requests that wait like it at the backend servers."""
        return queue_waits.Queue(self.service, self.route.id, self.urgency)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt lacks a proof that it was and will not be run.

        Only a refusal by the server, or that not a byte reached it, is one.
        """
        return self.attempts_sent > self.refusals + self.connect_failures

    @property
    def attempts_made(self) -> int:
        """Attempts that may have reached a server, finished or not."""
        return self.executions + self.refusals + len(self.attempts_by_id)


class Peer(NamedTuple):
    """Another gateway that is alive.

    Args:
      digest: Its latest digest.
      last_seen_ms: When that digest arrived.
    """

    digest: digests.Digest
    last_seen_ms: int


class State:
    """The state of a gateway.

    Args:
      host_id: Id of the host.
      incarnation: Unique for each start of the process.
      zone: Availability zone.
      digest_address: 'ip:port' on which it receives digests of peers.
      formats: Keys and encodings of the deployment's values in the store.
      options: Limits from the settings.
      seeds: 'ip:port' of gateways that get digests until the store has
        named other gateways.
    """

    def __init__(
        self,
        host_id: str,
        incarnation: str,
        zone: str,
        digest_address: str,
        formats: store_formats.Formats,
        options: limits.Options,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.seeds = seeds
        self.host_id = host_id
        self.incarnation = incarnation
        self.zone = zone
        self.digest_address = digest_address
        self.formats = formats
        self.options = options
        self.platform_calls = platform_calls.PlatformCalls()
        self.link = store_link.StoreLink(
            self.platform_calls,
            f'{formats.own_prefix}hosts/{host_id}',
            {
                'address': digest_address,
                'incarnation': incarnation,
                'zone': zone,
            },
            incarnation,
        )
        #: Copy of the values in the store.
        self.values = store_watch.PrefixWatch(
            self.platform_calls, '', formats.server_prefix
        )
        self.configuration: documents.Configuration | None = None
        self.table: routes.RouteTable | None = None
        self.fleet = fleet.Fleet()
        self.evacuations = evacuations.Evacuations()
        self.loads = loads.LoadTracker()
        self.demand = loads.PrefillDemand()
        self.report_ages = report_ages.ReportAges()
        self.waits = queue_waits.WaitTracker()
        self.prefixes = prefixes.PrefixCacheIndex()
        self.latency = latency_estimates.LatencyEstimator()
        self.outliers = outlier_ejection.OutlierDetector()
        self.backoff = server_backoff.BackoffTracker()
        self.cold_servers = cold_servers.ColdServers()
        self.ring = gateway_ring.GatewayRing(host_id)
        self.rate_limits = rate_limits.RateLimits(
            host_id,
            self.cold_servers,
            self.ring,
            options.cold_overrun,
            options.cold_tolerance,
        )
        self.crashes = crashes.CrashTracker(self.heard_since)
        self.crash_evidence = crash_evidence.CrashEvidence(self.heard_since)
        #: When the evidence is evaluated next.
        self.crash_evidence_due_ms = 0
        self.crash_reports = report_schedule.ReportSchedule(
            CRASH_REPORT_DELAY_MS,
            CRASH_REPORT_INTERVAL_MS,
            CRASH_REPORT_REPEAT_MS,
        )
        self.block_traffic = block_statistics.BlockTraffic()
        self.block_trials = block_trials.BlockTrials(host_id)
        self.block_reports = report_schedule.ReportSchedule(
            0, BLOCK_REPORT_INTERVAL_MS, BLOCK_REPORT_REPEAT_MS
        )
        self.limit_reports = report_schedule.ReportSchedule(
            0, LIMIT_REPORT_INTERVAL_MS, LIMIT_REPORT_REPEAT_MS
        )
        self.quarantine = quarantine.BlockQuarantine(
            self.platform_calls, formats
        )
        self.tiers = tiers.TierSelector()
        self.refusal_history = refusal_history.RefusalHistory()
        self.shares = shares.ShareTracker()
        self.sizes = shares.SizeClassifier()
        self.server_selector = placement.ServerSelector(
            zone,
            self.loads,
            self.prefixes,
            self.latency,
            self.outliers,
            self.backoff,
            self.rate_limits,
            self.cold_servers,
            self.unknown_prefill_ms,
        )
        self.budget = retry_budget.RetryBudget(
            options.retry_ratio, options.retry_slack, options.retry_window_ms
        )
        self.rollouts = rollouts.RolloutController(
            self.platform_calls, host_id, formats, options.exposure_share
        )
        self.sessions = session_versions.SessionVersions(
            options.session_lifetime_ms
        )
        #: Requests that arrived before the first configuration.
        self.held_requests_by_id: dict[str, requests.Request] = {}
        #: Requests without a final answer, by their id and by the ids of
        #: their attempts in progress.
        self.requests_by_id: dict[str, ActiveRequest] = {}
        self.requests_by_attempt: dict[str, ActiveRequest] = {}
        self.peers_by_id: dict[str, Peer] = {}
        self.peer_addresses_by_id: dict[str, str] = {}
        #: Zones of the gateways whose registrations name one.
        self.peer_zones_by_id: dict[str, str] = {}
        self.peer_zones_by_address: dict[str, str] = {}
        #: When data last came from each backend server: to this gateway, and
        #: to any of its peers.
        self.last_seen_ms_by_server: dict[str, int] = {}
        self.peers_seen_ms_by_server: dict[str, int] = {}
        #: Since when a peer has known a newer store revision, 0 if none does.
        self.behind_since_ms = 0
        #: Until when registrations that lapsed in an outage of the store
        #: may be renewed, as a peer reports it; 0 if none was reported.
        self.lapse_deadline_ms = 0
        #: When the store was seen to be restored from an older copy, 0 if it
        #: was not.
        self.restored_ms = 0
        #: Until when the restored store may hold what is out of date, 0
        #: outside that time.
        self.settle_deadline_ms = 0
        #: The value that the configuration in force was read from.
        self.configuration_value: platform.Found | None = None
        #: Whether the store reported a change since the last digest; the
        #: next digest then goes to all peers.
        self.has_unshared_changes = False
        self.started_ms = 0
        self.attempt_count = 0
        self.digest_count = 0
        self.digest_deadline_ms = 0
        self.fetch_deadline_ms = 0
        #: Fetches of a peer's view of the store that have not ended, by
        #: address, with the time when each began.
        self.fetch_began_ms_by_address: dict[str, int] = {}
        self.stop = stopping.PlannedStop()

    def apply_options(self, options: limits.Options) -> None:
        """Applies reloaded limits.

        The window of the retry budget and the duration of a planned stop
        stay as they were at the start of the process.
        """
        self.options = options._replace(
            retry_window_ms=self.options.retry_window_ms,
            stop_ms=self.options.stop_ms,
        )
        self.budget.set_limits(options.retry_ratio, options.retry_slack)
        self.rollouts.set_max_exposure(options.exposure_share)
        self.rate_limits.set_cold_bound(
            options.cold_overrun, options.cold_tolerance
        )
        self.sessions.lifetime_ms = options.session_lifetime_ms

    @property
    def gateway_count(self) -> int:
        """Number of live gateways, including this one."""
        return 1 + max(len(self.peers_by_id), len(self.peer_addresses_by_id))

    def add_peer(self, host_id: str, address: str, zone: str) -> None:
        """Records the registration of another gateway, '' for no zone."""
        self.remove_peer(host_id)
        self.peer_addresses_by_id[host_id] = address
        self.peer_zones_by_id[host_id] = zone
        self.peer_zones_by_address[address] = zone

    def remove_peer(self, host_id: str) -> None:
        """Removes the registration of another gateway."""
        address = self.peer_addresses_by_id.pop(host_id, '')
        self.peer_zones_by_id.pop(host_id, None)
        self.peer_zones_by_address.pop(address, None)

    @property
    def live_addresses(self) -> tuple[str, ...]:
        """Addresses of the peers that are alive."""
        return tuple(peer.digest.address for peer in self.peers_by_id.values())

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stop.begun

    @property
    def ready(self) -> bool:
        """Whether the gateway accepts new callers."""
        return (
            not self.stopping
            and self.table is not None
            and self.values.revision > 0
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        if self.configuration is None:
            return 0
        return self.configuration.version

    def heard_since(self, process: fleet.ServerProcess, since_ms: int) -> bool:
        """Returns whether a server sent anything to any gateway since a time.

        Args:
          process: The server; what a later start of it sends does not count.
          since_ms: The time.
        """
        server = self.fleet.servers_by_id.get(process.id)
        if server is None or server.started_ms != process.started_ms:
            return False
        return since_ms < max(
            self.last_seen_ms_by_server.get(process.id, 0),
            self.peers_seen_ms_by_server.get(process.id, 0),
        )

    def unknown_prefill_ms(self, service: str, now_ms: int) -> float:
        """Returns the prefill that peers have sent and not reported yet."""
        rate = self.demand.remote_rate(service, now_ms)
        return rate * self.report_ages.age_ms

    def cache_tokens(self, service_id: str) -> int:
        """Returns the KV cache of one server in tokens, 0 if unknown."""
        service = self.service(service_id)
        return 0 if service is None else service.cache_tokens

    def service(self, service_id: str) -> documents.Service | None:
        """Returns a service by its id, None if it is not configured."""
        if self.configuration is None:
            return None
        return self.configuration.services_by_id.get(service_id)


REDUCER: reducer.Reducer[State] = reducer.Reducer()

#: Handles the notices that the components of the state return.
NOTICES: reducer.Reducer[State] = reducer.Reducer()


def apply_notices(
    state: State, stamp: core_events.Stamp, outputs: list[Any]
) -> list[Any]:
    """Handles the notices among a component's results.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      outputs: Effects and notices that a component returned.
    Returns: Effects; each notice is replaced by the effects of its handler.
    """
    return NOTICES.expand_notices(state, stamp, outputs)
