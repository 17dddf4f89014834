"""Load tool: open-loop arrivals of both deployments' requests."""

import asyncio
import contextlib
import json
import pathlib
import random
import sys
from typing import NamedTuple

import msgspec
import uuid_utils

from ragwortgw_fakes import load_client
from ragwortgw_fakes import load_results
from ragwortgw_fakes import mixes

PROGRESS_INTERVAL_S = 1.0
CLIENT_GRACE_S = 2.0


class Plan(NamedTuple):
    """What to send where; direct leaves the router out.

    addresses are entries, or backend servers by kind if direct.
    """

    addresses: list[str]
    keys: list[str]
    mix: mixes.Mix
    targets: dict[str, str]
    rate: float
    duration_s: float
    seed: int
    sessions: int
    max_in_flight: int
    direct: dict[str, str]


class Runner:
    """Sends requests at their times and judges the answers."""

    def __init__(self, plan: Plan, log_path: pathlib.Path | None) -> None:
        self.plan = plan
        self.results = load_results.Results()
        self.in_flight = 0
        self.sent = 0
        self._random = random.Random(plan.seed)
        self._sessions = [
            str(uuid_utils.uuid7()) for _ in range(plan.sessions)
        ]
        self._pool = load_client.Pool()
        self._log = open(log_path, 'w', encoding='utf-8') if log_path else None

    async def run(self) -> None:
        """Sends for the planned time, then waits for the answers."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        at_s = start_s
        tasks: set[asyncio.Task] = set()
        progress = loop.create_task(self._progress())
        while True:
            at_s += self._random.expovariate(self.plan.rate)
            if at_s > start_s + self.plan.duration_s:
                break
            job = self._next_job()
            await asyncio.sleep(max(0.0, at_s - loop.time()))
            if self.in_flight >= self.plan.max_in_flight:
                self.results.add(job.kind, 'unsent', 0.0)
                continue
            task = loop.create_task(self._one(job, at_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        progress.cancel()
        self._pool.close()
        if self._log is not None:
            self._log.close()

    def _next_job(self) -> mixes.Job:
        shares = self.plan.mix.shares
        kind = self._random.choices(list(shares), list(shares.values()))[0]
        return mixes.make(kind, self._random, self.plan.targets)

    async def _one(self, job: mixes.Job, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        self.sent += 1
        self.in_flight += 1
        lag_s = max(0.0, loop.time() - at_s)
        self.results.send_lags.record_value(max(1, int(lag_s * 1e6)))
        address, path, headers = self._route(job)
        reply: load_client.Reply | None = None
        try:
            async with asyncio.timeout(job.timeout_ms / 1000 + CLIENT_GRACE_S):
                reply = await self._pool.send(
                    address, job.method, path, headers, job.body
                )
            outcome = judge(job, reply)
        except TimeoutError:
            outcome = 'timeout'
        except (load_client.Broken, OSError):
            outcome = 'broken'
        finally:
            self.in_flight -= 1
        end_s = loop.time()
        self.results.add(job.kind, outcome, end_s - at_s)
        if outcome == 'ok' and job.stream and reply is not None:
            self.results.add_first_byte(job.kind, reply.first_s - at_s)
        self._note(job, headers, reply, outcome, end_s - at_s)

    def _route(self, job: mixes.Job) -> tuple[str, str, dict[str, str]]:
        headers = {'Content-Type': 'application/json'} if job.body else {}
        if job.kind in self.plan.direct:
            headers['X-Request-Id'] = str(uuid_utils.uuid7())
            headers['X-Idempotency-Key'] = job.idempotency_key
            return self.plan.direct[job.kind], job.path, headers
        address = self.plan.addresses[self.sent % len(self.plan.addresses)]
        if self.plan.keys:
            rank = min(self._random.paretovariate(1.0), len(self.plan.keys))
            key = self.plan.keys[int(rank) - 1]
            headers['Authorization'] = f'Bearer {key}'
        headers['Ragwortgw-Timeout-Ms'] = str(job.timeout_ms)
        if job.idempotency_key:
            headers['Idempotency-Key'] = job.idempotency_key
        if job.is_chat:
            headers['Ragwortgw-Session'] = self._random.choice(self._sessions)
            return address, job.path, headers
        return address, f'/services/{job.target}{job.path}', headers

    def _note(
        self,
        job: mixes.Job,
        sent: dict[str, str],
        reply: load_client.Reply | None,
        outcome: str,
        latency_s: float,
    ) -> None:
        received = reply.headers if reply is not None else {}
        fields = {
            'kind': job.kind,
            'outcome': outcome,
            'status': str(reply.status if reply is not None else 0),
            'latency_ms': f'{latency_s * 1000:.3f}',
            'idempotency_key': job.idempotency_key,
            'session': sent.get('Ragwortgw-Session', ''),
            'request_id': received.get('ragwortgw-request-id', ''),
            'version': received.get('ragwortgw-version', ''),
        }
        if self._log is not None:
            self._log.write(json.dumps(fields) + '\n')
        if outcome not in ('ok', 'refused'):
            body = reply.body[-200:] if reply is not None else b''
            example = {**fields, 'body': body.decode('utf-8', 'replace')}
            self.results.add_example(example)

    async def _progress(self) -> None:
        if not sys.stderr.isatty():
            return
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            counts = ' '.join(
                f'{name}={count}'
                for name, count in self.results.counts().items()
            )
            sys.stderr.write(
                f'\rsent={self.sent} in flight={self.in_flight} {counts} '
            )
            sys.stderr.flush()


def judge(job: mixes.Job, reply: load_client.Reply) -> str:
    """Names the outcome of a request.

    Args:
      job: The request.
      reply: Its response.
    Returns: 'ok'; 'refused' (said not to have run); 'unknown' (may have
      run); 'error' (another status); 'cut' (a stream without its end) or
      'wrong' (not whole, or another request's answer).
    """
    if reply.status == 200:
        if mixes.is_own_and_whole(job, reply.body):
            return 'ok'
        if job.is_chat and mixes.chat_text(reply.body, job.stream) is None:
            return 'cut'
        return 'wrong'
    with contextlib.suppress(msgspec.DecodeError, AttributeError):
        ran = msgspec.json.decode(reply.body).get('ran')
        if ran == 'no':
            return 'refused'
        if ran is not None:
            return 'unknown'
    return 'error'


def read_pairs(text: str) -> dict[str, str]:
    """Reads 'a=b,c=d'."""
    pairs = [part.partition('=') for part in text.split(',') if part]
    return {name: value for name, _, value in pairs}


def run_load(
    plan: Plan, log_path: pathlib.Path | None = None
) -> load_results.Results:
    """Runs the plan to its end.

    Args:
      plan: What to send.
      log_path: File for one JSON line a request, or None.
    Returns: What was measured.
    """
    runner = Runner(plan, log_path)
    asyncio.run(runner.run())
    return runner.results


def main(
    *,
    addresses: str = '',
    keys: str = '',
    mix: str = 'both',
    rate: float = 20.0,
    duration_s: float = 10.0,
    seed: int = 1,
    sessions: int = 50,
    max_in_flight: int = 1000,
    targets: str = '',
    direct: str = '',
    result: pathlib.Path | None = None,
    plot: pathlib.Path | None = None,
    log: pathlib.Path | None = None,
) -> None:
    """Sends requests at random times that do not wait for answers.

    Args:
      addresses: 'ip:port' of the entries, parted by commas, taken in turn.
      keys: API keys of the organisations, largest first, parted by commas.
      mix: 'litoral', 'savinja' or 'both'.
      rate: Requests a second, on average.
      duration_s: Time during which requests are sent.
      seed: Seed of times and contents.
      sessions: Number of sessions that chat requests belong to.
      max_in_flight: Requests beyond it count as 'unsent'.
      targets: Model, cascade or service by kind, as 'brief=proof,...'.
      direct: Backend server by kind, as 'brief=ip:port,...'; those kinds
        leave the router out.
      result: File for the result; standard output if not given.
      plot: Image file for latencies by percentile.
      log: File for one JSON line a request.
    """
    plan = Plan(
        [address for address in addresses.split(',') if address],
        [key for key in keys.split(',') if key],
        mixes.MIXES[mix],
        {**mixes.TARGETS, **read_pairs(targets)},
        rate,
        duration_s,
        seed,
        sessions,
        max_in_flight,
        read_pairs(direct),
    )
    results = run_load(plan, log)
    document = {
        'mix': mix,
        'rate': rate,
        'duration_s': duration_s,
        'seed': seed,
        **results.document(),
    }
    text = json.dumps(document, indent=2) + '\n'
    if result is not None:
        result.write_text(text)
    else:
        sys.stdout.write(text)
    if plot is not None:
        load_results.plot(results, plot)
