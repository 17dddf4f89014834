"""Gateways, model runners and callers together, in simulated time."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import functools
import heapq
import random
import statistics
from typing import Any, NamedTuple
import zlib

from ragwortgw_core import effects as core_effects
from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_fakes import gateway_formats
from ragwortgw_fakes import gateway_policies
from ragwortgw_fakes import simulated_load
from ragwortgw_fakes import simulated_runner
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import gateway
from ragwortgw_gateway import requests

START_MS = 1_000_000
TICK_MS = 50
#: Time of a message between two processes.
WAY_MS = 1
#: Time between two looks at the work of the runners.
SAMPLE_MS = 100
#: Before requests come, gateways find each other.
WARM_UP_MS = 2_000
#: Steps in which the load of a utilisation is found.
LOAD_ITERATIONS = 6
#: Times that a caller comes back after a refusal.
RETURNS = 2
#: Part of the worth of an answer by a model that is too weak.
WEAK_WORTH = 0.05
#: Three sizes of model; paces, qualities and costs are of the users' order.
MODELS = (
    simulated_runner.Model('small', 0.3, 0.54, 0.0075),
    simulated_runner.Model('middle', 0.8, 0.64, 0.056),
    simulated_runner.Model('large', 3.0, 1.0, 0.11),
)


class Size(NamedTuple):
    """Size of a simulated deployment."""

    gateways: int = 6
    runners: int = 12
    zones: int = 3
    slots: int = 64
    queue: int = 134
    cache_tokens: int = 575_000
    speed: simulated_runner.Speed = simulated_runner.Speed()
    kinds: tuple[simulated_load.Kind, ...] = simulated_load.KINDS
    #: Age of what gateways report when it arrives.
    age_ms: int = WAY_MS
    #: Times of the runners in turn, as multiples of those of speed.
    slowdowns: tuple[float, ...] = (1.0,)


#: A deployment with long answers; its urgent requests have more time than
#: its least urgent ones.
LONG_ANSWERS = Size(
    gateways=5,
    runners=8,
    slots=48,
    cache_tokens=620_000,
    speed=simulated_runner.Speed(
        step_ms=4.2,
        step_ms_per_request=0.1,
        prompt_tokens_per_ms=66.0,
        event_tokens=4,
    ),
    kinds=simulated_load.LONG_ANSWER_KINDS,
)


class Figures(NamedTuple):
    """What callers got in one run.

    Args:
      benefit: Benefit earned, of the benefit owed.
      served: Requests that got a whole answer, of all.
      on_time: Requests answered on time, of all.
      weak: Requests that got an answer of a model too weak for them.
      refused: Requests that ended refused.
      unserved: Requests that ended without an answer otherwise.
      cost: Cost of the models used, of that of the largest for all.
      read_share: Prompt tokens read, of those asked for.
      benefit_by_kind: Benefit earned of that owed, by kind.
      served_by_kind: Requests that got a whole answer, of all, by kind.
    """

    benefit: float
    served: float
    on_time: float
    weak: float
    refused: float
    unserved: float
    cost: float
    read_share: float
    benefit_by_kind: dict[str, float]
    served_by_kind: dict[str, float]


class Evenness(NamedTuple):
    """How even the work of the runners was in one run.

    Args:
      peak: Unread prompts of the busiest runner, in time, of the mean.
      idle: Part of the runners without any while another has much.
      p50_ms: Time to the first byte.
      p95_ms: The same.
      p99_ms: The same.
      read_share: Prompt tokens read, of those asked for.
    """

    peak: float
    idle: float
    p50_ms: float
    p95_ms: float
    p99_ms: float
    read_share: float


def mean(figures: Sequence[Figures]) -> Figures:
    """Returns the means of what callers got in several runs.

    Args:
      figures: Those of each run, all with the same kinds of requests.
    """
    means: dict[str, Any] = {}
    for name, values in zip(Figures._fields, zip(*figures), strict=True):
        if isinstance(values[0], dict):
            means[name] = {
                kind: statistics.mean(each[kind] for each in values)
                for kind in values[0]
            }
        else:
            means[name] = statistics.mean(values)
    return Figures(**means)


class _Caller:
    """A request and what became of it."""

    __slots__ = (
        'asked',
        'returns',
        'first_ms',
        'job',
        'done',
        'refused',
        'attempt',
    )

    def __init__(self, asked: simulated_load.Asked) -> None:
        self.asked = asked
        self.returns = 0
        self.first_ms = 0
        #: The attempt whose answer it gets.
        self.job: simulated_runner.Job | None = None
        self.done = False
        self.refused = False
        self.attempt = 0

    @property
    def asked_ms(self) -> int:
        """When it was sent first."""
        return START_MS + WARM_UP_MS + self.asked.at_ms

    @property
    def due_ms(self) -> int:
        """When its caller stops waiting."""
        return self.asked_ms + self.asked.kind.timeout_ms


class Simulation:
    """One run of a policy at a load."""

    def __init__(
        self,
        policy: gateway_policies.Policy,
        asked: list[simulated_load.Asked],
        size: Size,
        seed: int,
    ) -> None:
        self._size = size
        self._random = random.Random(seed)
        self._pending: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._now_ms = float(START_MS)
        self._policy = policy
        self._models_by_name = {model.name: model for model in MODELS}
        self.cost = 0.0
        self.callers = [_Caller(each) for each in asked]
        self._callers_by_request: dict[str, _Caller] = {}
        self._jobs_by_attempt: dict[
            str, tuple[simulated_runner.Runner, simulated_runner.Job, int]
        ] = {}
        self.runners_by_id = {
            f'runner-{n}': simulated_runner.Runner(
                f'runner-{n}',
                _slower(size.speed, size.slowdowns[n % len(size.slowdowns)]),
                size.slots,
                size.queue,
                size.cache_tokens,
            )
            for n in range(size.runners)
        }
        self._stepping: set[str] = set()
        self._peaks: list[float] = []
        self._idle_shares: list[float] = []
        #: Events since the last tick by attempt, for each gateway.
        self._advanced: list[collections.Counter[str]] = [
            collections.Counter() for _ in range(size.gateways)
        ]
        self._values = self._make_values()
        self._gateways = [self._make_gateway(n) for n in range(size.gateways)]
        self._gateway_by_address = {
            state.digest_address: n for n, state in enumerate(self._gateways)
        }

    def run(self) -> None:
        """Plays all requests to their end."""
        for number in range(len(self._gateways)):
            self._at(number * 7.0, functools.partial(self._tick, number))
        for caller in self.callers:
            self._at(
                WARM_UP_MS + caller.asked.at_ms,
                functools.partial(self._arrive, caller),
            )
        self._at(WARM_UP_MS, self._sample)
        end_ms = max(caller.due_ms for caller in self.callers)
        while self._pending and self._now_ms < end_ms:
            self._now_ms, _, action = heapq.heappop(self._pending)
            action()

    def _sample(self) -> None:
        """Records how uneven the work of the runners is."""
        unread_ms = [each.unread_ms for each in self.runners_by_id.values()]
        mean_ms = statistics.mean(unread_ms)
        if mean_ms:
            self._peaks.append(max(unread_ms) / mean_ms)
        queues = max(unread_ms) >= SAMPLE_MS
        idle = sum(not each for each in unread_ms) if queues else 0
        self._idle_shares.append(idle / len(unread_ms))
        last_ms = self.callers[-1].asked_ms
        if self._now_ms < last_ms:
            self._at(SAMPLE_MS, self._sample)

    def evenness(self) -> Evenness:
        """Sums up how even the work of the runners was."""
        waits_ms = sorted(
            each.first_ms - each.asked_ms
            for each in self.callers
            if each.first_ms
        )
        last = len(waits_ms) - 1
        read = sum(each.read_tokens for each in self.runners_by_id.values())
        tokens = sum(each.asked.prompt.tokens for each in self.callers)
        p50_ms, p95_ms, p99_ms = (
            waits_ms[round(part * last)] for part in (0.5, 0.95, 0.99)
        )
        return Evenness(
            statistics.mean(self._peaks),
            statistics.mean(self._idle_shares),
            p50_ms,
            p95_ms,
            p99_ms,
            read / tokens,
        )

    def figures(self) -> Figures:
        """Sums up what callers got."""
        owed = earned = cost = 0.0
        on_time = weak = refused = unserved = 0
        by_kind: dict[str, list[float]] = {}
        served_by_kind: dict[str, list[float]] = {}
        largest = MODELS[-1]
        for caller in self.callers:
            asked = caller.asked
            worth = asked.kind.worth * asked.size
            got = _benefit(caller)
            owed += worth
            earned += got
            cost += _cost(largest, asked.prompt.tokens, asked)
            sums = by_kind.setdefault(asked.kind.name, [0.0, 0.0])
            sums[0] += got
            sums[1] += worth
            served = served_by_kind.setdefault(asked.kind.name, [0.0, 0.0])
            served[0] += caller.done
            served[1] += 1
            if caller.done:
                on_time += _in_time(caller)
                weak += _too_weak(caller)
            elif caller.refused:
                refused += 1
            else:
                unserved += 1
        count = len(self.callers)
        read = sum(each.read_tokens for each in self.runners_by_id.values())
        tokens = sum(each.asked.prompt.tokens for each in self.callers)
        return Figures(
            earned / owed,
            sum(each.done for each in self.callers) / count,
            on_time / count,
            weak / count,
            refused / count,
            unserved / count,
            self.cost / cost,
            read / tokens,
            {name: sums[0] / sums[1] for name, sums in by_kind.items()},
            {name: sums[0] / sums[1] for name, sums in served_by_kind.items()},
        )

    def _make_values(self) -> tuple[platform.Found, ...]:
        models: tuple[simulated_runner.Model, ...] = MODELS
        if self._policy.tiers is not None:
            models = (MODELS[self._policy.tiers],)
        configuration = simulated_load.make_configuration(
            tuple(model.name for model in models),
            {model.name: model.cost for model in MODELS},
            self._size.cache_tokens,
            self._size.kinds,
        )
        if not self._policy.ranked:
            routes = tuple(
                route._replace(priority=0) for route in configuration.routes
            )
            configuration = configuration._replace(routes=routes)
        servers = [
            documents.BackendServer(
                runner_id,
                1,
                'model',
                runner_id,
                f'zone-{n % self._size.zones}',
                'v1',
                self._size.slots,
                False,
            )
            for n, runner_id in enumerate(self.runners_by_id)
        ]
        return (
            gateway_formats.make_found(
                'orders/configuration', configuration, 1
            ),
            *(
                gateway_formats.make_found(f'servers/{each.id}', each, 1)
                for each in servers
            ),
            *(
                gateway_formats.make_found(
                    f'{gateway_formats.JsonFormats.own_prefix}hosts/edge-{n}',
                    {
                        'address': _address(n),
                        'zone': f'zone-{n % self._size.zones}',
                    },
                    1,
                )
                for n in range(self._size.gateways)
            ),
        )

    def _make_gateway(self, number: int) -> gateway.State:
        name = f'edge-{number}'
        seeds = tuple(map(_address, range(self._size.gateways)))
        state = gateway.new_gateway(
            name,
            f'{name}-x',
            f'zone-{number % self._size.zones}',
            _address(number),
            gateway_formats.JsonFormats(),
            gateway.Options(retry_ratio=0.9, retry_slack=50.0),
            seeds,
        )
        self._policy.change(state)
        if self._policy.oracle:
            placing = gateway_policies.ForcedPlacement(
                state.server_selector, self._choose_earliest
            )
            setattr(state, 'server_selector', placing)
        return state

    def _choose_earliest(
        self,
        request: requests.Request,
        model: str,
        servers: Sequence[documents.BackendServer],
        seed: int,
    ) -> documents.BackendServer:
        """Chooses the server that has read the prompt first."""
        assert request.prompt is not None
        prompt = request.prompt
        return min(
            servers,
            key=lambda server: self.runners_by_id[server.id].first_ms(
                self._models_by_name[model], prompt
            ),
        )

    def _at(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(
            self._pending, (self._now_ms + delay_ms, self._number, action)
        )

    def _tick(self, number: int) -> None:
        busy = tuple(
            each.id for each in self.runners_by_id.values() if not each.idle
        )
        self._reduce(number, events.ServersHeard(busy))
        advances = tuple(
            events.Advance(*item) for item in self._advanced[number].items()
        )
        self._advanced[number].clear()
        if advances:
            self._reduce(number, events.StreamsAdvanced(advances))
        self._reduce(number, core_events.Tick())
        self._at(TICK_MS, lambda: self._tick(number))

    def _reduce(self, number: int, event: Any) -> None:
        stamp = core_events.Stamp(
            int(self._now_ms), self._random.getrandbits(64)
        )
        _, outputs = gateway.REDUCER.reduce(
            self._gateways[number], stamp, event
        )
        for effect in outputs:
            self._apply(number, effect)

    def _apply(self, number: int, effect: Any) -> None:
        if isinstance(effect, effects.Send):
            self._at(WAY_MS, lambda: self._submit(number, effect.dispatch))
        elif isinstance(effect, effects.Cancel):
            self._cancel(effect.attempt_id)
        elif isinstance(effect, effects.Abandon):
            self._cancel(effect.attempt_id)
            broke = events.AttemptBroke(
                effect.attempt_id, effect.reason, 'yes', 0
            )
            self._at(0, lambda: self._reduce(number, broke))
        elif isinstance(effect, effects.Deliver):
            self._deliver(effect.attempt_id)
        elif isinstance(effect, effects.FinishStream):
            self._callers_by_request[effect.request_id].done = True
        elif isinstance(effect, effects.Refuse):
            self._refused(effect)
        elif isinstance(effect, effects.SendDigest):
            self._tell_peers(effect.addresses, effect.digest)
        elif isinstance(effect, effects.SendNote):
            self._tell_peers(effect.addresses, effect.note)
        elif isinstance(effect, effects.SendProbe):
            self._tell_peers(effect.addresses, effect.probe)
        elif isinstance(effect, effects.SendRelayed):
            self._tell_peers(effect.addresses, effect.relayed)
        elif isinstance(
            effect,
            effects.SendCrashReport
            | effects.SendBlockReport
            | effects.SendLimitReport
            | effects.SendRefusalReport,
        ):
            self._tell_peers(effect.addresses, effect.report)
        elif isinstance(effect, core_effects.CallPlatform):
            self._call_store(number, effect)

    def _arrive(self, caller: _Caller) -> None:
        asked = caller.asked
        caller.attempt += 1
        request_id = f'{asked.id}/{caller.attempt}'
        self._callers_by_request[request_id] = caller
        now_ms = int(self._now_ms)
        path = f'/{asked.kind.name}/{asked.id}'
        request = requests.Request(
            id=request_id,
            method='POST',
            target=path,
            host='sim.example',
            path=path,
            key='',
            headers=(),
            body=b'',
            model=requests.ANY_MODEL,
            prompt=asked.prompt,
            session='',
            resumed_after=0,
            received_ms=now_ms,
            deadline_ms=caller.due_ms,
            fingerprint=zlib.crc32(asked.id.encode()),
        )
        number = self._random.randrange(len(self._gateways))
        self._reduce(number, events.RequestArrived(request))

    def _refused(self, effect: effects.Refuse) -> None:
        caller = self._callers_by_request[effect.request_id]
        retry_ms: int | None = getattr(effect.failure, 'retry_after_ms', None)
        if retry_ms is None:
            return
        in_time = self._now_ms + retry_ms < caller.due_ms
        if in_time and caller.returns < RETURNS:
            caller.returns += 1
            self._at(retry_ms, lambda: self._arrive(caller))
        else:
            caller.refused = True

    def _submit(self, number: int, dispatch: requests.Dispatch) -> None:
        caller = self._callers_by_request[dispatch.request_id]
        runner = self.runners_by_id[dispatch.server_id]
        model = self._models_by_name[dispatch.model]
        asked = caller.asked
        job = simulated_runner.Job(
            dispatch.attempt_id,
            model,
            asked.prompt,
            asked.prompt.output_tokens,
            dispatch.urgency or 0,
        )
        if not runner.submit(job):
            refused = events.AttemptRefused(dispatch.attempt_id, False)
            self._at(WAY_MS, lambda: self._reduce(number, refused))
            return
        self._jobs_by_attempt[dispatch.attempt_id] = (runner, job, number)
        if runner.id not in self._stepping:
            self._stepping.add(runner.id)
            self._at(0, lambda: self._step(runner))

    def _step(self, runner: simulated_runner.Runner) -> None:
        if runner.idle:
            self._stepping.discard(runner.id)
            return
        self._at(runner.begin_step(), lambda: self._end_step(runner))

    def _end_step(self, runner: simulated_runner.Runner) -> None:
        for outcome in runner.end_step(self._now_ms):
            if outcome.first or outcome.done:
                self._tell(outcome)
            else:
                number = self._jobs_by_attempt[outcome.job.id][2]
                self._advanced[number][outcome.job.id] += 1
        self._step(runner)

    def _tell(self, outcome: simulated_runner.Outcome) -> None:
        """Passes on what a runner has, as its answer would arrive."""
        job = outcome.job
        number = self._jobs_by_attempt[job.id][2]
        request_id = job.id.rpartition('.')[0]
        asked = self._callers_by_request[request_id].asked
        if outcome.first:
            opinion = simulated_runner.confidence(
                job.model, asked.hardness, asked.noise
            )
            head = requests.AnswerHead(
                200, (), request_id, False, False, opinion, None, True
            )
            answered = events.AttemptAnswered(job.id, head)
            self._at(WAY_MS, lambda: self._reduce(number, answered))
        if outcome.done:
            self._jobs_by_attempt.pop(job.id, None)
            self.cost += _cost(job.model, asked.prompt.tokens, asked)
            answer = requests.Answer(200, (), b'')
            ended = events.AttemptEnded(job.id, answer, asked.events)
            self._at(WAY_MS, lambda: self._reduce(number, ended))

    def _deliver(self, attempt_id: str) -> None:
        caller = self._callers_by_request[attempt_id.rpartition('.')[0]]
        found = self._jobs_by_attempt.get(attempt_id)
        caller.first_ms = int(self._now_ms)
        if found is not None:
            caller.job = found[1]

    def _cancel(self, attempt_id: str) -> None:
        found = self._jobs_by_attempt.pop(attempt_id, None)
        if found is not None:
            runner, job, _ = found
            runner.cancel(job)
            asked = self._callers_by_request[
                attempt_id.rpartition('.')[0]
            ].asked
            read = asked.prompt.tokens - job.unread if job.unread else 0
            self.cost += _cost(job.model, read, None)

    def _tell_peers(
        self,
        addresses: tuple[str, ...],
        message: digests.Message,
    ) -> None:
        encoded = digests.encode(message)
        for address in addresses:
            number = self._gateway_by_address[address]
            decoded = digests.decode(encoded)
            assert decoded is not None
            received = events.received(decoded)
            self._at(
                self._size.age_ms,
                functools.partial(self._reduce, number, received),
            )

    def _call_store(self, number: int, effect: Any) -> None:
        """Answers a call to a store in which nothing changes."""
        call = effect.call
        result: Any
        delay_ms = 4.0
        if isinstance(call, platform.List):
            found = tuple(
                each
                for each in self._values
                if each.key.startswith(call.prefix)
            )
            result = platform.Listed(call.prefix, found, 1)
        elif isinstance(call, platform.WatchPrefix):
            result = platform.Changes(call.prefix, (), 1)
            delay_ms += call.wait_ms
        elif isinstance(call, platform.Grant):
            result = platform.Granted(call.lease, 0, True)
        else:
            result = platform.Written(call.key, 1)
        answered = core_events.PlatformAnswered(effect.op_id, result)
        self._at(delay_ms, lambda: self._reduce(number, answered))


def _slower(
    speed: simulated_runner.Speed, slowdown: float
) -> simulated_runner.Speed:
    return speed._replace(
        step_ms=speed.step_ms * slowdown,
        step_ms_per_request=speed.step_ms_per_request * slowdown,
        prompt_tokens_per_ms=speed.prompt_tokens_per_ms / slowdown,
    )


def _address(number: int) -> str:
    """Returns the 'ip:port' of a gateway."""
    return f'127.0.0.1:{number + 1}'


def _in_time(caller: _Caller) -> bool:
    kind = caller.asked.kind
    took_ms = caller.first_ms - caller.asked_ms
    pause_ms = 0.0 if caller.job is None else caller.job.longest_pause_ms
    return took_ms <= kind.objective_ms and pause_ms <= kind.event_interval_ms


def _too_weak(caller: _Caller) -> bool:
    job = caller.job
    return job is not None and job.model.quality < caller.asked.hardness


def _benefit(caller: _Caller) -> float:
    """Returns what the answer is worth to the caller."""
    if not caller.done:
        return 0.0
    kind = caller.asked.kind
    worth = kind.worth if _in_time(caller) else kind.late_worth
    if _too_weak(caller):
        worth *= WEAK_WORTH
    return worth * caller.asked.size


def _cost(
    model: simulated_runner.Model,
    read_tokens: int,
    asked: simulated_load.Asked | None,
) -> float:
    """Returns the cost of a run; tokens read count a quarter."""
    written = 0 if asked is None else asked.prompt.output_tokens
    return model.cost * (written + read_tokens / 4) / 1_000


def _least_work_ms(
    asked: list[simulated_load.Asked], size: Size
) -> list[float]:
    """Returns the least time of a runner that each request can take.

    It is that of the smallest model that is strong enough, the request's
    own part of the prompt, and its part of one single reading of what it
    shares.
    """
    sharers: dict[str, int] = {}
    for each in asked:
        subject = each.prompt.blocks[0].id
        sharers[subject] = sharers.get(subject, 0) + 1
    times_ms = []
    for each in asked:
        model = next(m for m in MODELS if m.quality >= each.hardness)
        shared = each.prompt.blocks[0]
        tokens: float = each.prompt.blocks[1].tokens
        tokens += shared.tokens / sharers[shared.id]
        work_ms = model.pace * tokens / size.speed.prompt_tokens_per_ms
        written = each.prompt.output_tokens
        work_ms += model.pace * written * size.speed.step_ms_per_request
        times_ms.append(max(work_ms, 1e-6))
    return times_ms


def load_for(utilisation: float, size: Size, duration_ms: int) -> float:
    """Returns the load whose least work takes a part of the runners' time.

    Args:
      utilisation: The part; above 1, no policy can serve all.
      size: The deployment.
      duration_ms: How long requests come.
    Returns: Part of the rates of the kinds of requests.
    """
    load = 1.0
    # What is shared is read less often than requests come, so that the work
    # does not grow in proportion.
    for _ in range(LOAD_ITERATIONS):
        asked = simulated_load.make_load(
            load, duration_ms, 1, size.speed.event_tokens, size.kinds
        )
        busy_ms = sum(_least_work_ms(asked, size))
        load *= utilisation * duration_ms * size.runners / busy_ms
    return load


def upper_bound(
    asked: list[simulated_load.Asked], size: Size, duration_ms: float
) -> float:
    """Bounds the benefit that any policy can earn, of that owed.

    Each request is charged the least work that it can take. Those worth
    most for their work fit into the time of all runners, as if it could be
    split.

    Args:
      asked: All requests, known beforehand.
      size: The deployment.
      duration_ms: Time that the runners have.
    """
    ratios = [
        (each.kind.worth * each.size, work_ms)
        for each, work_ms in zip(
            asked, _least_work_ms(asked, size), strict=True
        )
    ]
    ratios.sort(key=lambda pair: -pair[0] / pair[1])
    left_ms = duration_ms * size.runners
    earned = 0.0
    for worth, work_ms in ratios:
        part = min(1.0, left_ms / work_ms)
        earned += worth * part
        left_ms -= work_ms * part
        if left_ms <= 0:
            break
    return earned / sum(worth for worth, _ in ratios)


def simulate(
    policy_name: str,
    load: float,
    duration_ms: int = 15_000,
    size: Size = Size(),
    seed: int = 1,
) -> Figures:
    """Plays a policy at a load.

    Args:
      policy_name: Name of a registered policy.
      load: Part of the rates of the kinds of requests.
      duration_ms: How long requests come.
      size: The deployment.
      seed: Decides all that is random.
    Returns: What callers got.
    """
    asked = simulated_load.make_load(
        load, duration_ms, seed, size.speed.event_tokens, size.kinds
    )
    policy = gateway_policies.policies_by_name[policy_name]
    simulation = Simulation(policy, asked, size, seed)
    simulation.run()
    return simulation.figures()


def measure_evenness(
    choice_name: str,
    load: float,
    duration_ms: int,
    size: Size,
    seed: int,
) -> Evenness:
    """Plays a way of choosing servers, with one model and no refusals.

    Args: As for simulate(); choice_name is that of a registered choice.
    """
    asked = simulated_load.make_load(
        load, duration_ms, seed, size.speed.event_tokens, size.kinds
    )
    choice = gateway_policies.choices_by_name[choice_name]
    simulation = Simulation(choice, asked, size, seed)
    simulation.run()
    return simulation.evenness()
