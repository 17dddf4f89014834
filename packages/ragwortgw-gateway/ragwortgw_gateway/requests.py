"""Requests of callers, attempts at them and answers, as values."""

from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]

#: Model name by which a caller leaves the choice to the gateway.
ANY_MODEL = '*'


class PrefixBlock(NamedTuple):
    """A part of a prompt that several requests may share."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """Size and parts of a prompt.

    Args:
      tokens: Tokens to read.
      output_tokens: Most tokens to generate.
      parts: Parts in order; the last belongs to the request or session.
    """

    tokens: int
    output_tokens: int
    blocks: tuple[PrefixBlock, ...]

    @property
    def affinity(self) -> str:
        """Names what the request shares with others, '' for nothing."""
        if not self.blocks:
            return ''
        return self.blocks[max(0, len(self.blocks) - 2)].id


class Request(NamedTuple):
    """A whole request of a caller.

    Args:
      id: Unique for each attempt of the caller.
      method: HTTP method.
      target: Path and query, as sent.
      host: Host header.
      path: Path without the query.
      key: API key, '' where there is none.
      headers: Headers that a backend server gets, as sent.
      body: Whole body.
      model: Model as named by the caller, '' where there is none.
      prompt: Size of the prompt, None for a plain request.
      session: Session id, '' where there is none.
      resumed_after: Id of the last event that the caller has, 0 for none.
      received_ms: When it was whole.
      deadline_ms: When the caller stops waiting.
      fingerprint: Hash of path, key and body.
    """

    id: str
    method: str
    target: str
    host: str
    path: str
    key: str
    headers: Headers
    body: bytes
    model: str
    prompt: Prompt | None
    session: str
    resumed_after: int
    received_ms: int
    deadline_ms: int
    fingerprint: int


class Dispatch(NamedTuple):
    """One attempt at a request, as sent to a backend server.

    Args:
      attempt_id: Unique in the process.
      request_id: The request.
      server_id: The backend server.
      address: Its 'ip:port'.
      connection_limit: Connections to it that this process may hold.
      organisation: Owner of the caller's key, '' where there is none.
      model: Model to run, '' for the caller's own choice.
      urgency: Rank at the backend server, None for its default.
      copy_from: 'ip:port' of a server from which to copy what it holds of
        the prompt, '' for none.
      resume_after: Id of the last event to leave out, 0 for none.
      streaming: Whether the answer is a stream of events.
      repeatable: Whether the request may run more than once.
      deadline_ms: When to give up.
    """

    attempt_id: str
    request_id: str
    server_id: str
    address: str
    connection_limit: int
    organisation: str
    model: str
    urgency: int | None
    copy_from: str
    resume_after: int
    streaming: bool
    repeatable: bool
    deadline_ms: int


class AnswerHead(NamedTuple):
    """Status and headers of a backend server's answer.

    Args:
      status: HTTP status.
      headers: Headers that the caller gets.
      request_id: Request that it answers, '' where it does not say.
      proves_not_run: Whether it says that nothing ran or will run.
      other_server: Whether another server has the address now.
      confidence: The model's opinion of its answer, 0 to 100; None where
        it gives none.
      keep_alive_ms: How long the connection may idle, None if unknown.
      streaming: Whether events follow.
    """

    status: int
    headers: Headers
    request_id: str
    proves_not_run: bool
    other_server: bool
    confidence: int | None
    keep_alive_ms: int | None
    streaming: bool


class Answer(NamedTuple):
    """A whole answer of a backend server."""

    status: int
    headers: Headers
    body: bytes
