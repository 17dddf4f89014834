"""Planners of the verbs create, set, delete, permit and forbid."""

from typing import Any, cast

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import language
from ragwortgw_core import object_properties
from ragwortgw_core import plan_registry


@plan_registry.planner('create')
def plan_create(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    kind = order.kind.text
    if kind not in plan_registry.EDITABLE_KINDS:
        return Failure(plan_registry.unknown_kind(order.kind))
    if kind == 'key' and not object_properties.SHA256.fullmatch(
        order.name.text
    ):
        reason = 'a key is named by its SHA-256, as "ragwortgw key" prints'
        return Failure(errors.BadOrder(reason, order.name.column, ''))
    if (
        plan_registry.find_document(snapshot, kind, order.name.text)
        is not None
    ):
        reason = f'{kind} {order.name.text} exists; use set to change it'
        return Failure(errors.BadOrder(reason, order.name.column, 'set'))
    parsed = object_properties.parse_properties(kind, order.properties)
    if isinstance(parsed, Failure):
        return parsed
    document = {
        'id': order.name.text,
        **object_properties.defaults(kind),
        **parsed.unwrap(),
    }
    return complete_document(kind, document, order)


@plan_registry.planner('set')
def plan_set(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    kind = order.kind.text
    if kind not in plan_registry.EDITABLE_KINDS:
        return Failure(plan_registry.unknown_kind(order.kind))
    current = plan_registry.find_document(snapshot, kind, order.name.text)
    if current is None:
        return Failure(plan_registry.not_found(snapshot, kind, order.name))
    parsed = object_properties.parse_properties(kind, order.properties)
    if isinstance(parsed, Failure):
        return parsed
    return complete_document(kind, {**current, **parsed.unwrap()}, order)


@plan_registry.planner('delete')
def plan_delete(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    kind = order.kind.text
    if kind not in plan_registry.EDITABLE_KINDS or kind == 'system':
        return Failure(plan_registry.unknown_kind(order.kind))
    if plan_registry.find_document(snapshot, kind, order.name.text) is None:
        return Failure(plan_registry.not_found(snapshot, kind, order.name))
    return Success({f'{kind}/{order.name.text}': None})


def complete_document(
    kind: str, document: dict[str, Any], order: language.Order
) -> Result[plan_registry.Changes, Any]:
    """Derives the remaining fields of a document and checks its id.

    Args:
      kind: Kind of the document.
      document: The document with the fields that the order gave.
      order: The order, for the columns in failures.
    Returns: The change that writes the document, or the failure.
    """
    if kind == 'version':
        model, _, number = document['id'].partition('@')
        if not model or not number:
            reason = 'a version has the form model@version'
            return Failure(errors.BadOrder(reason, order.name.column, ''))
        document = {'state': 'ready', 'reason': '', **document}
        document['model'] = model
    if kind == 'model':
        routes = parse_routes(document['routes'], order)
        if isinstance(routes, Failure):
            return routes
        document = {**document, 'routes': routes.unwrap()}
    return Success({f'{kind}/{document["id"]}': document})


def parse_routes(
    routes: list[Any], order: language.Order
) -> Result[list[Any], errors.BadOrder]:
    """Parses routes written as METHOD:prefix:repeatable|once:priority.

    Args:
      routes: Routes as written, or the documents of existing ones, which
        are kept.
      order: The order, for the columns in failures.
    Returns: The routes, or the failure of the first malformed one.
    """
    columns_by_text = {
        value.text: value.column
        for prop in order.properties
        for value in prop.values
    }
    parsed: list[Any] = []
    for route in routes:
        if isinstance(route, dict):
            parsed.append(route)
            continue
        document = parse_route(route)
        if document is None:
            reason = (
                f'route {route!r}: expected'
                ' METHOD:prefix:repeatable|once:interactive|background'
            )
            column = columns_by_text[route]
            return Failure(errors.BadOrder(reason, column, ''))
        parsed.append(document)
    return Success(parsed)


def parse_route(text: str) -> documents.Route | None:
    """Parses one route; returns None if it is malformed."""
    parts = text.split(':')
    if len(parts) != 4 or parts[2] not in ('repeatable', 'once'):
        return None
    method, prefix, repeatable, priority = parts
    if priority not in ('interactive', 'background'):
        return None
    return documents.Route(
        method=method.upper(),
        prefix=prefix,
        repeatable=repeatable == 'repeatable',
        priority=cast(documents.Priority, priority),
    )


@plan_registry.planner('permit')
def plan_permit(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    return change_permits(order, snapshot, add=True)


@plan_registry.planner('forbid')
def plan_forbid(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    return change_permits(order, snapshot, add=False)


def change_permits(
    order: language.Order, snapshot: configuration.Snapshot, add: bool
) -> Result[plan_registry.Changes, Any]:
    """Adds or removes names that an organisation is permitted to use."""
    organisation = snapshot.organisations_by_id.get(order.name.text)
    if organisation is None:
        return Failure(
            plan_registry.not_found(snapshot, 'organisation', order.name)
        )
    names = [value.text for value in order.properties[0].values]
    permits = [name for name in organisation['permits'] if name not in names]
    if add:
        permits += names
    changed = {**organisation, 'permits': permits}
    return Success({f'organisation/{order.name.text}': changed})
