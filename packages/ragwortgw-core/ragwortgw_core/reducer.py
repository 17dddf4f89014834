"""A reducer that is composed of handlers registered by event type."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

from ragwortgw_core import events

State = TypeVar('State')
Handler = Callable[[Any, events.Stamp, Any], list[Any]]


class UnhandledEvent(Exception):
    """No handler is registered for an event's type."""


class Reducer(Generic[State]):
    """Dispatches each event to the handler registered for its type.

    A handler takes (state, stamp, event), mutates the state and returns a
    list of effects. It reads no clock, socket or random source: time and
    randomness come from the stamp, so that recordings can be replayed.
    """

    def __init__(self) -> None:
        self._handlers_by_type: dict[type, Handler] = {}

    def handles(self, event_type: type) -> Callable[[Handler], Handler]:
        """Registers the decorated function for an event type.

        Args:
          event_type: The NamedTuple class of the event.
        Returns: The decorator.
        """

        def register(handler: Handler) -> Handler:
            self._handlers_by_type[event_type] = handler
            return handler

        return register

    def handles_type(self, event: Any) -> bool:
        """Returns whether a handler is registered for the event's type."""
        return type(event) in self._handlers_by_type

    def reduce(
        self, state: State, stamp: events.Stamp, event: Any
    ) -> tuple[State, list[Any]]:
        """Applies one event.

        Args:
          state: The state; handlers mutate it.
          stamp: Time and randomness of the event.
          event: The event.
        Returns: The same state object, and the effects in order.
        Raises:
          UnhandledEvent: No handler is registered for the event's type.
        """
        handler = self._handlers_by_type.get(type(event))
        if handler is None:
            raise UnhandledEvent(type(event).__name__)
        return state, handler(state, stamp, event)

    def expand_notices(
        self, state: State, stamp: events.Stamp, outputs: list[Any]
    ) -> list[Any]:
        """Replaces each notice by the effects of handling it, recursively.

        Args:
          state: The state; handlers mutate it.
          stamp: Time and randomness of the event.
          outputs: Effects, and notices that this reducer handles.
        Returns: The effects, in order.
        """
        expanded: list[Any] = []
        for output in outputs:
            if not self.handles_type(output):
                expanded.append(output)
                continue
            _, notice_outputs = self.reduce(state, stamp, output)
            expanded += self.expand_notices(state, stamp, notice_outputs)
        return expanded
