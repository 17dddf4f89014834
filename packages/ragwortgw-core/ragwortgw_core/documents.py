"""Types of the configuration documents stored in the platform service.

Their keys are the stored JSON fields.
"""

from typing import Literal, NotRequired, TypedDict

Role = Literal['read', 'operate', 'administer']
Priority = Literal['interactive', 'background']
ModelKind = Literal['chat', 'service']
LedgerMode = Literal['claims', 'grants']


class Organisation(TypedDict):
    """A customer with its permissions and limits.

    permits holds ids of models, cascades or plain services ('proof'), or
    of single versions ('proof@v2'). rate is in requests/s, burst in
    requests, concurrency in requests at once; weight is the relative
    share of a contended queue.
    """

    id: str
    permits: list[str]
    rate: float
    burst: float
    concurrency: int
    weight: float


class CallerKey(TypedDict):
    """A caller's API key; id is the SHA-256 of the key in hex."""

    id: str
    organisation: str
    label: str


class Operator(TypedDict):
    """An operator; key_hash is the SHA-256 of the key in hex."""

    id: str
    key_hash: str
    role: Role


class Route(TypedDict):
    """Properties of the calls of a plain service, by method and prefix."""

    method: str
    prefix: str
    repeatable: bool
    priority: Priority


class Model(TypedDict):
    """A model or plain service; prices in micro-units of currency.

    input_micros and output_micros are prices per 1,000 tokens, call_micros
    is the price per call. prior_quality in 0..1 is the assumed quality
    until there are ratings.
    """

    id: str
    kind: ModelKind
    input_micros: int
    output_micros: int
    call_micros: int
    prior_quality: float
    priority: Priority
    routes: list[Route]


class Version(TypedDict):
    """A version of a model; id has the form 'model@version'."""

    id: str
    model: str
    state: Literal['ready', 'withdrawn']
    reason: str


class Cascade(TypedDict):
    """Models under one id, from cheap to costly.

    target in 0..1 is the quality to reach.
    """

    id: str
    stages: list[str]
    target: float
    priority: Priority


class Step(TypedDict):
    """Traffic shares by version id, in basis points, from a time on.

    effective_at_ms is in Unix ms.
    """

    effective_at_ms: int
    shares: dict[str, int]


class Rollout(TypedDict):
    """The roll-out of a model: its past steps and its plan.

    id is the model id. plan holds the candidate's successive shares in
    basis points; next_step is an index into it. fencing rises with each
    step.
    """

    id: str
    steps: list[Step]
    candidate: str
    baseline: str
    plan: list[int]
    next_step: int
    state: Literal['idle', 'running', 'paused', 'done', 'withdrawn']
    fencing: int


class Drain(TypedDict):
    """Bars a backend server from new work; id is the server's name."""

    id: str
    reason: str


class System(TypedDict):
    """Settings shared by all processes; the id is always 'system'."""

    id: str
    session_key: str
    ledger_mode: LedgerMode
    ledger_shards: int


class Command(TypedDict):
    """An applied order, kept in the head.

    It tells a client whether its order was applied, and serves the audit.
    """

    id: str
    operator: str
    at_ms: int
    revision: int
    base_revision: int
    text: str
    changed: list[str]


class Head(TypedDict):
    """The single value that defines the configuration in force.

    objects maps 'kind/id' to the revision that last wrote the object.
    """

    revision: int
    objects: dict[str, int]
    commands: list[Command]


class Usage(TypedDict):
    """Tokens and time of one execution."""

    input_tokens: int
    output_tokens: int
    cached_tokens: NotRequired[int]
