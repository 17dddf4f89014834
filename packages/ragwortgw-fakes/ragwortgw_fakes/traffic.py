"""Sends many requests at a time and keeps what became of each."""

from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
import http.client
import threading
import time
from typing import Any, NamedTuple

from ragwortgw_fakes import calls
from ragwortgw_fakes import processes
from ragwortgw_fakes import system

MAX_WORKERS = 64
MS_PER_S = 1_000


class Wanted(NamedTuple):
    """A request to send; prompt is '' for a plain service."""

    entry: processes.Process
    model: str
    prompt: str
    method: str = 'POST'
    path: str = ''
    body: bytes = b''
    key: str = system.CALLER_KEY
    headers: tuple[tuple[str, str], ...] = ()


class Sent(NamedTuple):
    """A request and its answer; None where the connection broke.

    Times are Unix ms of this process.
    """

    wanted: Wanted
    answer: calls.Answer | None
    began_ms: int
    ended_ms: int

    @property
    def request_id(self) -> str:
        """Id that the entry gave the request, '' where none came."""
        if self.answer is None:
            return ''
        return self.answer.headers.get('ragwortgw-request-id', '')

    @property
    def version(self) -> str:
        """Version that served it, '' where none did."""
        if self.answer is None:
            return ''
        return self.answer.headers.get('ragwortgw-version', '')

    @property
    def ok(self) -> bool:
        """Whether a whole answer came."""
        return self.answer is not None and self.answer.status == 200

    def problem(self) -> dict[str, Any]:
        """The problem document of a refusal; empty for an answer."""
        if self.answer is None or self.answer.status < 400:
            return {}
        return self.answer.json()


def now_ms() -> int:
    """Returns the present time, Unix ms."""
    return int(time.time() * MS_PER_S)


def send(wanted: Wanted) -> Sent:
    """Sends one request and waits for its end."""
    began_ms = now_ms()
    answer = None
    headers = dict(wanted.headers)
    try:
        if wanted.prompt:
            answer = system.chat(
                wanted.entry,
                wanted.model,
                wanted.prompt,
                wanted.key,
                headers,
            )
        else:
            answer = system.service(
                wanted.entry,
                wanted.method,
                wanted.path,
                wanted.body,
                wanted.key,
                headers,
            )
    except (OSError, http.client.HTTPException):
        pass
    return Sent(wanted, answer, began_ms, now_ms())


def send_all(wanted: Sequence[Wanted], at_once: int = 16) -> list[Sent]:
    """Sends requests, a number of them at a time, in their order."""
    with futures.ThreadPoolExecutor(min(at_once, MAX_WORKERS)) as pool:
        return list(pool.map(send, wanted))


class Background:
    """Sends requests one after the other until told to stop.

    A context manager; leaving it waits for the requests under way.

    Args:
      make: Makes the n-th request.
      at_once: Number of senders.
      pause_s: Time between two requests of a sender, in s.
    """

    def __init__(
        self,
        make: Callable[[int], Wanted],
        at_once: int = 4,
        pause_s: float = 0.01,
    ) -> None:
        self.sent: list[Sent] = []
        self._make = make
        self._pause_s = pause_s
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._count = 0
        self._threads = [
            threading.Thread(target=self._run) for _ in range(at_once)
        ]

    def __enter__(self) -> 'Background':
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stops sending and waits for what is under way."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def wait_sent(self, count: int) -> None:
        """Waits until that many requests have ended."""
        system.wait_for(
            lambda: len(self.sent) >= count, f'{count} requests ended', 60
        )

    def _run(self) -> None:
        while not self._stop.is_set():
            with self._lock:
                number = self._count
                self._count += 1
            done = send(self._make(number))
            with self._lock:
                self.sent.append(done)
            self._stop.wait(self._pause_s)
