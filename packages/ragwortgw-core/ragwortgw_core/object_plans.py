"""Planners of orders that create, change and delete objects."""

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
    read = object_properties.parse_properties(kind, order.properties)
    if isinstance(read, Failure):
        return read
    document = {
        'id': order.name.text,
        **object_properties.defaults(kind),
        **read.unwrap(),
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
    found = plan_registry.find_document(snapshot, kind, order.name.text)
    if found is None:
        return Failure(plan_registry.not_found(snapshot, kind, order.name))
    read = object_properties.parse_properties(kind, order.properties)
    if isinstance(read, Failure):
        return read
    return complete_document(kind, {**found, **read.unwrap()}, order)


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
    """Adds the fields that follow from others and checks the ids."""
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
    """Reads routes written as METHOD:prefix:repeatable|once:priority."""
    columns_by_text = {
        value.text: value.column
        for prop in order.properties
        for value in prop.values
    }
    read: list[Any] = []
    for written in routes:
        if isinstance(written, dict):
            read.append(written)
            continue
        route = parse_route(written)
        if route is None:
            reason = (
                f'route {written!r}: expected'
                ' METHOD:prefix:repeatable|once:interactive|background'
            )
            column = columns_by_text[written]
            return Failure(errors.BadOrder(reason, column, ''))
        read.append(route)
    return Success(read)


def parse_route(written: str) -> documents.Route | None:
    """Reads one route; None where it has another form."""
    parts = written.split(':')
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
    """Adds names to what an organisation may use, or takes them away."""
    found = snapshot.organisations_by_id.get(order.name.text)
    if found is None:
        return Failure(
            plan_registry.not_found(snapshot, 'organisation', order.name)
        )
    names = [value.text for value in order.properties[0].values]
    permits = [name for name in found['permits'] if name not in names]
    if add:
        permits += names
    changed = {**found, 'permits': permits}
    return Success({f'organisation/{order.name.text}': changed})
