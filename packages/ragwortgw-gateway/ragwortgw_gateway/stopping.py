"""The planned stop of a gateway, as a state machine.

It ends only in a turn in which no request is being read, in progress or not
yet taken by its caller, or when its time is up.
"""

from typing import Literal, NamedTuple

from ragwortgw_gateway import events

#: Time after the start of a planned stop for which all requests are still
#: accepted but long streams, since load balancers and clients still send
#: them here; after it, only requests whose deadline is before the end of the
#: stop.
STOP_ACCEPT_MS = 3_000
#: Time after the start of a planned stop at which callers' idle connections
#: are closed; new connections are accepted until the last request has its
#: answer, in case no other gateway is running.
CLOSE_IDLE_MS = 2_500
#: End of the stop that is reserved for callers to read their last bytes, and
#: the largest fraction of the stop that it may be.
STOP_RESERVE_MS = 600
MAX_RESERVE_FRACTION = 1 / 6
#: Time before the end of the stop, when the process would be killed, at which
#: it ends by itself; at most this fraction of the reserve.
EXIT_MARGIN_MS = 200
MAX_MARGIN_FRACTION = 1 / 2

#: running: there is no stop. accepting: callers may not know of it yet.
#: draining: it waits for requests to arrive whole and to be answered.
#: flushing: nothing new can come, and callers read their last bytes.
Phase = Literal['running', 'accepting', 'draining', 'flushing', 'ended']

NO_CALLERS = events.CallersObserved(0, 0)


class Due(NamedTuple):
    """What is to be done in a turn of a planned stop.

    Args:
      close_idle: Whether callers' idle connections are to be closed.
      end_requests: Whether the requests in progress are to be ended.
      close_listener: Whether no caller may send anything any more.
      exit: Whether the process is to end.
    """

    close_idle: bool = False
    end_requests: bool = False
    close_listener: bool = False
    exit: bool = False


class PlannedStop:
    """The phase of a planned stop, and the deadlines of its steps.

    Attributes:
      phase: The present phase.
      callers: What was last observed of the callers' connections.
      late: Whether requests in progress had to be ended.
      end_deadline_ms: When the process ends at the latest, 0 without a stop.
    """

    def __init__(self) -> None:
        self.phase: Phase = 'running'
        self.callers = NO_CALLERS
        self.late = False
        self._accept_deadline_ms = 0
        #: 0 before the stop, and once they are closed.
        self._close_idle_deadline_ms = 0
        self._work_deadline_ms = 0
        self.end_deadline_ms = 0

    @property
    def begun(self) -> bool:
        """Whether a stop was requested."""
        return self.phase != 'running'

    def begin(self, now_ms: int, stop_ms: int) -> None:
        """Begins the stop; a further request for it changes nothing.

        Args:
          now_ms: The time.
          stop_ms: Time after which the process is killed.
        """
        if self.begun:
            return
        self.phase = 'accepting'
        reserve_ms = min(STOP_RESERVE_MS, stop_ms * MAX_RESERVE_FRACTION)
        self._work_deadline_ms = now_ms + round(stop_ms - reserve_ms)
        margin_ms = min(EXIT_MARGIN_MS, reserve_ms * MAX_MARGIN_FRACTION)
        self.end_deadline_ms = now_ms + round(stop_ms - margin_ms)
        self._accept_deadline_ms = min(
            now_ms + STOP_ACCEPT_MS, self._work_deadline_ms
        )
        self._close_idle_deadline_ms = now_ms + CLOSE_IDLE_MS

    def accepts_all(self, now_ms: int) -> bool:
        """Returns whether requests are accepted whatever time they take."""
        return self.phase == 'accepting' and now_ms < self._accept_deadline_ms

    def work_left_ms(self, now_ms: int) -> int:
        """Returns the time until requests in progress are ended."""
        return self._work_deadline_ms - now_ms

    def advance(self, now_ms: int, in_progress: int) -> Due:
        """Takes the steps that are due.

        Args:
          now_ms: The time.
          in_progress: Requests without a final answer.
        Returns: What is to be done in this turn.
        """
        if self.phase in ('running', 'ended'):
            return Due()
        if self.phase == 'flushing':
            return self._end_if_flushed(now_ms)
        close_idle = 0 < self._close_idle_deadline_ms <= now_ms
        if close_idle:
            self._close_idle_deadline_ms = 0
        if self.phase == 'accepting' and now_ms >= self._accept_deadline_ms:
            self.phase = 'draining'
        late = now_ms >= self._work_deadline_ms
        quiet = not in_progress and not self.callers.reading
        if late or (self.phase == 'draining' and quiet):
            self.phase = 'flushing'
            self.late = late
            return Due(close_idle, late, True)
        return Due(close_idle)

    def _end_if_flushed(self, now_ms: int) -> Due:
        if self.callers.unflushed and now_ms < self.end_deadline_ms:
            return Due()
        self.phase = 'ended'
        return Due(exit=True)
