"""Registry of the planners of orders, and what they share."""

from collections.abc import Callable
from typing import Any

from returns.result import Result

from ragwortgw_core import configuration
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import language
from ragwortgw_core import object_properties

Changes = dict[str, Any]
Planner = Callable[
    [language.Order, configuration.Snapshot, events.Stamp],
    Result[Changes, Any],
]

EDITABLE_KINDS = tuple(object_properties.PROPERTIES_BY_KIND)

planners_by_verb: dict[str, Planner] = {}


def planner(verb: str) -> Callable[[Planner], Planner]:
    """Registers the decorated function as the planner of a verb."""

    def register(planner: Planner) -> Planner:
        planners_by_verb[verb] = planner
        return planner

    return register


def find_document(
    snapshot: configuration.Snapshot, kind: str, name: str
) -> dict[str, Any] | None:
    """Returns a configuration document, or None."""
    if kind == 'system':
        return dict(snapshot.system) if snapshot.system else None
    return documents_by_id(snapshot, kind).get(name)


def documents_by_id(
    snapshot: configuration.Snapshot, kind: str
) -> dict[str, Any]:
    """Returns the documents of a kind by id."""
    found: dict[str, Any] = getattr(snapshot, f'{kind}s_by_id')
    return found


def unknown_kind(word: language.Word) -> errors.BadOrder:
    """Builds the failure of an unknown kind of object."""
    return object_properties.unknown_word('kind', word, EDITABLE_KINDS)


def not_found(
    snapshot: configuration.Snapshot, kind: str, name: language.Word
) -> errors.BadOrder:
    """Builds the failure of an object that does not exist."""
    known = [] if kind == 'system' else list(documents_by_id(snapshot, kind))
    return errors.BadOrder(
        f'no {kind} {name.text!r}',
        name.column,
        language.suggest(name.text, known),
    )
