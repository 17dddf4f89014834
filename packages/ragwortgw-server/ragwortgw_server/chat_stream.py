"""Pieces of a streamed chat completion, and whether it is whole."""

from ragwortgw_core import documents
from ragwortgw_server import engine_documents
from ragwortgw_server import sse


class MalformedChunk(Exception):
    """An event of the stream is no chat.completion.chunk."""


def usage_of(
    completion: engine_documents.Completion,
) -> documents.Usage | None:
    """Reads the usage that an engine reports.

    Args:
      completion: A chat.completion or a chunk of it.
    Returns: The usage, or None where there is none.
    """
    usage = completion.get('usage')
    if usage is None:
        return None
    details = usage.get('prompt_tokens_details') or {}
    return documents.Usage(
        input_tokens=usage.get('prompt_tokens', 0),
        output_tokens=usage.get('completion_tokens', 0),
        cached_tokens=details.get('cached_tokens') or 0,
    )


class PieceBuilder:
    """Cuts a stream into pieces, each with one content chunk.

    What goes between content chunks travels with the next one. The piece
    behind the last content chunk holds the finish, the usage if the caller
    wants it, and the end mark.

    Args:
      resumed: Whether the caller has the start of the stream already.
      skip: Content chunks to leave out, since the caller has them.
      keep_usage: Whether the caller asked for the usage.
    """

    def __init__(self, resumed: bool, skip: int, keep_usage: bool) -> None:
        self._resumed = resumed
        self._skip = skip
        self._keep_usage = keep_usage
        self._pending = b''
        self.contents = 0
        self.usage: documents.Usage | None = None
        self.finished = False
        self.done = False

    def feed(self, event: sse.Event) -> bytes | None:
        """Takes an event in.

        Args:
          event: The next event.
        Returns: A piece that is whole now, or None.
        Raises:
          MalformedChunk: The event is no chunk.
        """
        if not event.data:
            return None
        if event.data == sse.DONE:
            self.done = True
            self._pending += event.raw
            return None
        chunk = _decode(event.data)
        choices = chunk.get('choices') or []
        self.usage = usage_of(chunk) or self.usage
        if not choices:
            if self._keep_usage:
                self._pending += event.raw
            return None
        self.finished = self.finished or any(
            choice.get('finish_reason') for choice in choices
        )
        if any(_has_content(choice) for choice in choices):
            return self._content(event.raw)
        if not (self._resumed and _is_start(choices)):
            self._pending += event.raw
        return None

    @property
    def whole(self) -> bool:
        """Whether finish, usage and end mark have come."""
        return self.done and self.finished and self.usage is not None

    def last(self) -> bytes:
        """Returns the piece behind the last content chunk."""
        return self._pending

    def _content(self, raw: bytes) -> bytes | None:
        self.contents += 1
        piece, self._pending = self._pending + raw, b''
        if self.contents <= self._skip:
            return None
        return piece


def _decode(data: bytes) -> engine_documents.Completion:
    chunk = engine_documents.decode(data, engine_documents.Completion)
    if chunk is None or 'error' in chunk:
        raise MalformedChunk
    return chunk


def _has_content(choice: engine_documents.Choice) -> bool:
    delta = choice.get('delta') or {}
    return any(value for name, value in delta.items() if name != 'role')


def _is_start(choices: list[engine_documents.Choice]) -> bool:
    return any('role' in (choice.get('delta') or {}) for choice in choices)
