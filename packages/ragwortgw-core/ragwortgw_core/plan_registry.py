"""Registry of the functions that plan orders, and helpers they share.

A planner computes the documents that an order of one verb changes.
"""

from collections.abc import Callable
from typing import Any

from returns.result import Result

from ragwortgw_core import configuration
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import language
from ragwortgw_core import object_properties

#: New documents by 'kind/id'; None for a deleted one.
Changes = dict[str, Any]
Planner = Callable[
    [language.Order, configuration.Snapshot, events.Stamp],
    Result[Changes, Any],
]

EDITABLE_KINDS = tuple(object_properties.PROPERTIES_BY_KIND)

planners_by_verb: dict[str, Planner] = {}


def planner(verb: str) -> Callable[[Planner], Planner]:
    """Registers the decorated function as the planner of a verb."""

    def register(function: Planner) -> Planner:
        planners_by_verb[verb] = function
        return function

    return register


def find_document(
    snapshot: configuration.Snapshot, kind: str, name: str
) -> dict[str, Any] | None:
    """Returns a document of the configuration.

    Args:
      snapshot: The configuration.
      kind: Kind of the document, such as 'model'.
      name: Id of the document; ignored for the only 'system' document.
    Returns: The document; None if it does not exist.
    """
    if kind == 'system':
        return dict(snapshot.system) if snapshot.system else None
    return documents_by_id(snapshot, kind).get(name)


def documents_by_id(
    snapshot: configuration.Snapshot, kind: str
) -> dict[str, Any]:
    """Returns the documents of a kind by id."""
    documents: dict[str, Any] = getattr(snapshot, f'{kind}s_by_id')
    return documents


def unknown_kind(word: language.Word) -> errors.BadOrder:
    """Builds the failure for an unknown kind of object."""
    return object_properties.unknown_word('kind', word, EDITABLE_KINDS)


def not_found(
    snapshot: configuration.Snapshot, kind: str, name: language.Word
) -> errors.BadOrder:
    """Builds the failure for an object that does not exist."""
    known = [] if kind == 'system' else list(documents_by_id(snapshot, kind))
    return errors.BadOrder(
        f'no {kind} {name.text!r}',
        name.column,
        language.suggest(name.text, known),
    )
