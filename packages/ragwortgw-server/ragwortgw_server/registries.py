"""Handlers by key, filled by a decorator."""

from collections.abc import Callable
from typing import Any, TypeVar

Function = TypeVar('Function', bound=Callable[..., Any])


class Registry:
    """Maps keys, such as types or kinds of frames, to handlers."""

    def __init__(self) -> None:
        self._handlers_by_key: dict[Any, Callable[..., Any]] = {}

    def __call__(self, key: Any) -> Callable[[Function], Function]:
        """Registers the decorated function for a key.

        Args:
          key: What get() is asked for.
        Returns: The decorator.
        """

        def register(handler: Function) -> Function:
            self._handlers_by_key[key] = handler
            return handler

        return register

    def get(self, key: Any) -> Callable[..., Any] | None:
        """Returns the handler of a key, None where there is none."""
        return self._handlers_by_key.get(key)
