"""How an entry answers operators' queries and takes their orders."""

import hmac
from typing import Any, NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import documents
from ragwortgw_core import effects
from ragwortgw_core import entry_state
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import ids
from ragwortgw_core import language
from ragwortgw_core import object_properties
from ragwortgw_core import order_plans
from ragwortgw_core import queries
from ragwortgw_core import tables

BOOTSTRAP = 'bootstrap'


class Identity(NamedTuple):
    """Who gave a command, and what the role allows."""

    name: str
    role: documents.Role


@entry_state.REDUCER.handles(events.CommandReceived)
def on_command(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.CommandReceived,
) -> list[Any]:
    identified = identify(state, event.key_hash)
    if isinstance(identified, Failure):
        return refuse(event.op_id, identified.failure())
    parsed = language.parse(event.text)
    if isinstance(parsed, Failure):
        return refuse(event.op_id, parsed.failure())
    statement = parsed.unwrap()
    if isinstance(statement, language.Order):
        return submit_order(
            state, stamp, event, statement, identified.unwrap()
        )
    if isinstance(statement, language.Explain):
        outputs = state.reports.explain(
            stamp, event.op_id, statement.request.text
        )
        return entry_state.apply_notices(state, stamp, outputs)
    return answer_query(state, stamp, event.op_id, statement)


def identify(state: entry_state.State, key_hash: str) -> Result[Identity, Any]:
    """Finds the operator that a key belongs to."""
    if not key_hash:
        return Failure(errors.MissingKey())
    bootstrap_hash = state.options.bootstrap_hash
    if bootstrap_hash and hmac.compare_digest(bootstrap_hash, key_hash):
        return Success(Identity(BOOTSTRAP, 'administer'))
    snapshot = queries.current_snapshot(state)
    for operator in snapshot.operators_by_id.values():
        if hmac.compare_digest(operator['key_hash'], key_hash):
            return Success(Identity(operator['id'], operator['role']))
    return Failure(errors.UnknownKey())


def refuse(op_id: int, failure: Any) -> list[Any]:
    """Answers a command with a typed failure."""
    document = errors.command_problem(failure)
    return [
        effects.AnswerOrder(op_id, failure.status, document),
        effects.Count('entry_command_refusals', (('failure', failure.slug),)),
    ]


def answer_query(
    state: entry_state.State,
    stamp: events.Stamp,
    op_id: int,
    query: language.Show,
) -> list[Any]:
    """Answers a query from the entry's state or the platform's values."""
    subject = query.subject.text
    if subject in state.reports.subjects:
        outputs = state.reports.start(stamp, op_id, query)
        return entry_state.apply_notices(state, stamp, outputs)
    reader = queries.readers_by_subject.get(subject)
    if reader is None:
        known = [*queries.readers_by_subject, *state.reports.subjects]
        return refuse(
            op_id,
            object_properties.unknown_word('subject', query.subject, known),
        )
    whole = reader(state, stamp)
    whole = tables.sort_rows(whole, whole.columns[0], descending=False)
    found = tables.apply_query(query, whole)
    if isinstance(found, Failure):
        return refuse(op_id, found.failure())
    document = tables.to_document(found.unwrap())
    return [effects.AnswerOrder(op_id, 200, document)]


def submit_order(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.CommandReceived,
    order: language.Order,
    identity: Identity,
) -> list[Any]:
    """Plans an order and submits it to the configuration."""
    forbidden = order_plans.check_role(
        identity.role, order_plans.required_role(order)
    )
    if forbidden is not None:
        return refuse(event.op_id, forbidden)
    snapshot = queries.current_snapshot(state)
    planned = order_plans.plan_changes(order, snapshot, stamp)
    if isinstance(planned, Failure):
        return refuse_unless_applied(state, stamp, event, planned.failure())
    submitted = state.orders.submit(
        stamp,
        new_order(stamp, event, order, identity.name, planned.unwrap()),
    )
    return entry_state.apply_notices(state, stamp, submitted)


def refuse_unless_applied(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.CommandReceived,
    failure: Any,
) -> list[Any]:
    """Refuses an order, unless its own command id shows it was applied.

    An order that is sent again after its answer was lost may no longer
    be possible just because it took effect.
    """
    head = queries.current_snapshot(state).head
    for command in head['commands']:
        if command['id'] == event.command_id:
            body = {'revision': command['revision'], 'applied': True}
            return [effects.AnswerOrder(event.op_id, 200, body)]
    return refuse(event.op_id, failure)


def new_order(
    stamp: events.Stamp,
    event: events.CommandReceived,
    order: language.Order,
    operator: str,
    changes: dict[str, Any],
) -> events.OrderReceived:
    """Builds the planned order of a command, its secrets masked.

    A command without an id gets one, but can not be repeated safely.
    """
    return events.OrderReceived(
        event.op_id,
        operator,
        event.command_id or ids.new_uuid7(stamp.now_ms, stamp.seed),
        object_properties.mask_order(event.text, order),
        event.if_revision,
        event.dry_run,
        changes,
    )
