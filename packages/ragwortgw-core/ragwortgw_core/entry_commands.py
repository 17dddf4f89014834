"""Handles operators' commands at an entry.

A command is a statement: queries are answered, orders are checked against
the operator's role, planned and submitted to the configuration.
"""

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

#: Operator name in the audit for commands given with the bootstrap key.
BOOTSTRAP = 'bootstrap'


class Identity(NamedTuple):
    """An authenticated operator."""

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
        out = state.reports.explain(stamp, event.op_id, statement.request.text)
        return entry_state.apply_notices(state, stamp, out)
    return answer_query(state, stamp, event.op_id, statement)


def identify(state: entry_state.State, key_hash: str) -> Result[Identity, Any]:
    """Authenticates an operator by the hash of the key."""
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
    """Answers a query on the entry's state, or starts one on stored values."""
    subject = query.subject.text
    if subject in state.reports.subjects:
        out = state.reports.start(stamp, op_id, query)
        return entry_state.apply_notices(state, stamp, out)
    reader = queries.readers_by_subject.get(subject)
    if reader is None:
        known = [*queries.readers_by_subject, *state.reports.subjects]
        return refuse(
            op_id,
            object_properties.unknown_word('subject', query.subject, known),
        )
    complete = reader(state, stamp)
    complete = tables.sort_rows(
        complete, complete.columns[0], descending=False
    )
    selected = tables.apply_query(query, complete)
    if isinstance(selected, Failure):
        return refuse(op_id, selected.failure())
    document = tables.to_document(selected.unwrap())
    return [effects.AnswerOrder(op_id, 200, document)]


def submit_order(
    state: entry_state.State,
    stamp: events.Stamp,
    event: events.CommandReceived,
    order: language.Order,
    identity: Identity,
) -> list[Any]:
    """Checks the operator's role, then plans and submits an order."""
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
    """Refuses an order that can't be planned, unless it was applied before.

    An order that is retried after its answer was lost may fail to plan
    just because it has taken effect, such as creating an object.
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
    """Builds the event that submits a planned order, with secrets masked.

    A command without an id gets a new one, but can not be retried safely.
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
