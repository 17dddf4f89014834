"""Values for callers' requests, dispatches to backend servers and answers."""

from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]

#: Model name with which a caller leaves the choice to the gateway.
ANY_MODEL = '*'
#: Blocks of a prompt that are told apart in logs and messages.
MAX_SHARED_BLOCKS = 16
#: Length to which their ids are cut there.
MAX_ID_CHARS = 64


class PrefixBlock(NamedTuple):
    """A block of a prompt that several requests may share as a prefix."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """Size and prefix blocks of a prompt.

    Args:
      tokens: Tokens of the prompt.
      output_tokens: Most tokens to generate.
      blocks: Blocks in order; the last one belongs to this request or
        session alone.
    """

    tokens: int
    output_tokens: int
    blocks: tuple[PrefixBlock, ...]

    @property
    def size(self) -> int:
        """Tokens of prompt and answer; a generated one counts ten times."""
        return max(1, self.tokens + 10 * self.output_tokens)

    @property
    def shared_ids(self) -> tuple[str, ...]:
        """Ids of the blocks that other requests may have as well, in order.

        Headers are untrusted: long ids are cut, and further blocks left out.
        """
        shared = self.blocks[:-1][:MAX_SHARED_BLOCKS]
        return tuple(block.id[:MAX_ID_CHARS] for block in shared)

    @property
    def affinity(self) -> str:
        """Id of the last block that other requests may share, '' if none."""
        if not self.blocks:
            return ''
        return self.blocks[max(0, len(self.blocks) - 2)].id


class Request(NamedTuple):
    """A complete request of a caller.

    Args:
      id: Unique for each request, including the client's retries.
      method: HTTP method.
      target: Path and query, as sent.
      host: Host header.
      path: Path without the query.
      key: API key, '' if there is none.
      headers: Headers that a backend server gets, as sent.
      body: Complete body.
      model: Model as named by the caller, '' if there is none.
      prompt: Size and blocks of the prompt, None for a plain request.
      session: Session id, '' if there is none.
      resumed_after: Id of the last event that the caller has, 0 for none.
      received_ms: When the request was complete.
      deadline_ms: When the caller stops waiting.
      fingerprint: Hash of path, key and body.
      names_itself: Whether its id is the caller's, which servers echo; one
        that the gateway made up is not sent.
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
    names_itself: bool = True


class Dispatch(NamedTuple):
    """One attempt at a request, as sent to a backend server.

    Args:
      attempt_id: Unique in the process.
      request_id: The request.
      server_id: The backend server.
      address: Its 'ip:port'.
      connection_limit: Connections to it that this process may open.
      organisation: Owner of the caller's key, '' if there is none.
      model: Model to run, '' for a plain request.
      urgency: Priority at the backend server, None for its default.
      copy_from: 'ip:port' of a server from which to copy cached blocks of
        the prompt, '' for none.
      resume_after: Id of the event after which the stream resumes, 0 for
        its start.
      streaming: Whether the answer is a stream of events.
      repeatable: Whether the request may run more than once.
      deadline_ms: When the attempt is abandoned.
      server_started_ms: When the server's process started, by its own clock.
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
    server_started_ms: int = 0


class AnswerHead(NamedTuple):
    """Status and headers of a backend server's answer.

    Args:
      status: HTTP status.
      headers: Headers that the caller gets.
      request_id: Request that it answers, '' if the server named none.
      proves_not_run: Whether it proves that the request did not and will
        not run.
      other_server: Whether another server has the address now.
      confidence: The model's confidence in its answer, 0 to 100; None if it
        reported none.
      keep_alive_ms: Idle timeout of the connection, None if unknown.
      streaming: Whether a stream of events follows.
      leaving: Whether the server announces that it is about to end.
      pause_ms: Time for which the server wants no requests, 0 for none.
      malformed_pause: What the server sent instead of a time, '' if nothing.
      limit_per_s: Requests a second that the server takes from all gateways
        together, None for no limit.
      sealed: Whether the server vouches for it, as for each success.
      cold_ms: How much longer the server is cold, None if it does not say.
    """

    status: int
    headers: Headers
    request_id: str
    proves_not_run: bool
    other_server: bool
    confidence: int | None
    keep_alive_ms: int | None
    streaming: bool
    leaving: bool = False
    pause_ms: int = 0
    malformed_pause: str = ''
    limit_per_s: float | None = None
    sealed: bool = True
    cold_ms: float | None = None


class Answer(NamedTuple):
    """A complete answer of a backend server."""

    status: int
    headers: Headers
    body: bytes
