"""Serves requests that return after a refusal, at any gateway.

Under overload a refusal defers a request: its caller returns after the time
that it was given, and most callers return only once. Refusing the request
again would leave it unserved. So gateways exchange what they refuse, and a
request that came back is refused for lateness only if its answer can't begin
before its deadline. That takes room from new requests, which can still come
back themselves; it is done on routes whose callers wait much longer than
their objective.
"""

from typing import Any

from ragwortgw_core import events as core_events
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import gateway_state

State = gateway_state.State
REDUCER = gateway_state.REDUCER


#: Callers of a route wait for late answers if its timeout is at least this
#: many times its objective.
LATE_OBJECTIVES = 1.5


def waits_for_late(route: documents.Route) -> bool:
    """Returns whether callers of a route wait for late answers."""
    return route.timeout_ms >= LATE_OBJECTIVES * route.objective_ms


def may_be_late(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
) -> bool:
    """Returns whether a request is served although it is late.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
    """
    return waits_for_late(active.route) and state.refusal_history.has_returned(
        active.request.fingerprint, stamp.now_ms
    )


def record_refusal(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    retry_ms: int,
) -> None:
    """Records a request that is refused with a Retry-After.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      retry_ms: Time after which its caller is asked to return.
    """
    state.refusal_history.record_refusal(
        active.request.fingerprint,
        stamp.now_ms,
        active.deadline_ms,
        retry_ms,
    )
    if waits_for_late(active.route):
        state.refusal_history.add_news(
            active.request.fingerprint, stamp.now_ms
        )


def report_refusals(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Sends peers the requests that were refused, when a report is due."""
    refusals = state.refusal_history.take_report(stamp.now_ms)
    if not refusals or not state.live_addresses:
        return []
    report = digests.RefusalReport(state.host_id, refusals)
    return [effects.SendRefusalReport(state.live_addresses, report)]


@REDUCER.handles(events.RefusalReportReceived)
def on_refusal_report(
    state: State,
    stamp: core_events.Stamp,
    event: events.RefusalReportReceived,
) -> list[Any]:
    state.refusal_history.merge_remote(event.report, stamp.now_ms)
    return []
