"""Messages between gateways, and their encoding.

A digest is a summary of one gateway's state, sent several times a second. A
note reports an attempt that was just sent to a backend server: without it,
peers would take that server for idle until the next digest, and all send
there. A crash report is sent when a backend server has crashed, a block report
along with it and about trials of prompts that are held, a limit report when a
server has named a limit. A gateway of another zone gets a digest or a note as
a relayed message, which it passes on in its zone.
"""

from typing import Any, NamedTuple
import zlib

import msgspec

from ragwortgw_core import decoding
from ragwortgw_core import platform
from ragwortgw_gateway import requests


class StoreView(NamedTuple):
    """A gateway's view of the store, as sent to a peer that asks for it.

    Args:
      revision: Store revision up to which the gateway knows all changes.
      newer: Values that are newer than the revision that the peer named.
      keys: All keys that exist.
      lapse_ms: Time for which deleted registrations may still be renewed,
        since the store had an outage; 0 if deletions are final.
      retained: Values in force that are newer than those in the store,
        since the store was restored from an older copy.
    """

    revision: int
    newer: tuple[platform.Found, ...]
    keys: tuple[str, ...]
    lapse_ms: int
    retained: tuple[platform.Found, ...] = ()


class ServerLoad(NamedTuple):
    """Work of one gateway at a backend server.

    Args:
      running: Requests in progress there.
      pending_ms: Time that the server needs to prefill their prompts.
      work_ms: Time that it needs to finish them.
      tokens: KV cache that they take, in tokens.
    """

    running: int
    pending_ms: int
    work_ms: int
    tokens: int


class RolloutEvidence(NamedTuple):
    """Evidence that one gateway collected on a roll-out since its start.

    Args:
      order: Store revision of the order.
      elapsed_ms: Time since the order was given.
      requests: Requests to the service.
      candidate_requests: Attempts that the candidate answered.
      candidate_failures: Those that it answered with a failure.
      baseline_requests: Attempts that the other versions answered.
      baseline_failures: Those that they answered with a failure.
      candidate_slow: Attempts at the candidate whose answers began late for
        a server at the usual pace, or have not begun.
      candidate_timed: Attempts of which that is known.
      baseline_slow: The same of the other versions.
      baseline_timed: Attempts of which that is known.
    """

    order: int
    elapsed_ms: int = 0
    requests: int = 0
    candidate_requests: int = 0
    candidate_failures: int = 0
    baseline_requests: int = 0
    baseline_failures: int = 0
    candidate_slow: float = 0.0
    candidate_timed: int = 0
    baseline_slow: float = 0.0
    baseline_timed: int = 0


class Crash(NamedTuple):
    """A crash of a backend server before it began to answer a request.

    Args:
      fingerprint: Hash of the request's path, key and body.
      server: Identifies one run of the server's process.
      age_ms: Time since the crash.
    """

    fingerprint: int
    server: str
    age_ms: int


class Prefill(NamedTuple):
    """A prompt that a gateway sent to a backend server for prefill.

    Args:
      server: Id of the backend server.
      model: The model.
      blocks: Prefix blocks in order; a note contains only those that other
        requests may share.
      ready_in_ms: Time until the server is expected to have cached them.
    """

    server: str
    model: str
    blocks: tuple[requests.PrefixBlock, ...]
    ready_in_ms: int


class Leaving(NamedTuple):
    """A process of a backend server that announced that it leaves.

    Args:
      server: Id of the server.
      started_ms: When the process started, by its own clock.
      age_ms: Time since the announcement.
    """

    server: str
    started_ms: int
    age_ms: int


class Note(NamedTuple):
    """An attempt that a gateway has just sent to a backend server.

    Args:
      sender: Host id of the gateway.
      sequence: Sequence number of its latest digest; later ones include the
        attempt.
      load: What the attempt adds to the gateway's work at the server.
      prefill: The prompt, with the blocks that other requests may share.
    """

    sender: str
    sequence: int
    load: ServerLoad
    prefill: Prefill


class BrokenAttempt(NamedTuple):
    """An attempt that may have crashed its backend server.

    Args:
      sent_ago_ms: Time since it was sent.
      fingerprint: Hash of the request's path, key and body.
      blocks: Ids of the prefix blocks that other requests may share.
    """

    sent_ago_ms: int
    fingerprint: int
    blocks: tuple[str, ...]


class ServerCrash(NamedTuple):
    """A crash of a backend server, and what it had not begun to answer.

    Args:
      server: Id of the server.
      started_ms: When its process started, by its own clock.
      age_ms: Time since the crash.
      confirmed: Whether the server refused a connection since.
      suspects: Attempts of the sender that may have caused it.
    """

    server: str
    started_ms: int
    age_ms: int
    confirmed: bool
    suspects: tuple[BrokenAttempt, ...]


class QuarantinedBlock(NamedTuple):
    """A prefix block that is sent to no backend server.

    Args:
      block: Id of the block.
      left_ms: Time until it is sent again.
    """

    block: str
    left_ms: int


class CrashReport(NamedTuple):
    """What one gateway knows of prompts that crash backend servers.

    Args:
      sender: Host id of the gateway.
      crashes: The latest crashes that it observed itself.
      sound_ages_ms: Time since the last sound answer began there, by block,
        for blocks of which crashes are known.
      quarantined: Blocks that it sends to no server.
    """

    sender: str
    crashes: tuple[ServerCrash, ...]
    sound_ages_ms: dict[str, int]
    quarantined: tuple[QuarantinedBlock, ...]


class BlockTrial(NamedTuple):
    """A gateway's view of the trials of a held prefix block.

    Args:
      block: Id of the block.
      crashes: Trials that crashed their server.
      due_in_ms: Time until the next one may begin, -1 for never.
      claimed: Whether the gateway makes it, or is about to.
      presumed: Whether crashes was derived from the age of a stored value.
      server: Id of the server that the claimed trial goes to, '' if unknown;
        other requests are kept away from it.
      doubtful: Trials that crashed a server which ran other requests.
    """

    block: str
    crashes: int
    due_in_ms: int
    claimed: bool
    presumed: bool
    server: str = ''
    doubtful: int = 0


class BlockReport(NamedTuple):
    """What one gateway knows of prefix blocks that may crash servers.

    It is a message of its own, since older gateways ignore a message that
    they do not know, but refuse one with further fields.

    Args:
      sender: Host id of the gateway.
      attempts: Attempts with a prompt that it sent of late, decayed.
      attempts_by_block: Those with a block, for suspected blocks.
      trials: Trials of blocks that are held.
      released_ages_ms: Time since blocks were found sound, by block.
    """

    sender: str
    attempts: float
    attempts_by_block: dict[str, float]
    trials: tuple[BlockTrial, ...]
    released_ages_ms: dict[str, int]


class ServerLimit(NamedTuple):
    """What a backend server said of its limit.

    Args:
      server: Id of the server.
      started_ms: When its process started, by its own clock.
      per_s: Requests a second from all gateways, None for no limit.
      age_ms: Time since it said so.
    """

    server: str
    started_ms: int
    per_s: float | None
    age_ms: int


class LimitReport(NamedTuple):
    """What backend servers said of their limits to one gateway."""

    sender: str
    limits: tuple[ServerLimit, ...]


class Refusal(NamedTuple):
    """A request that was refused with a Retry-After.

    Args:
      fingerprint: Hash of the request's path, key and body.
      age_ms: Time since it was refused.
      return_in_ms: Time after which its caller was asked to return.
      left_ms: Time until its deadline.
    """

    fingerprint: int
    age_ms: int
    return_in_ms: int
    left_ms: int


class RefusalReport(NamedTuple):
    """Requests that one gateway refused lately."""

    sender: str
    refusals: tuple[Refusal, ...]


class Digest(NamedTuple):
    """Summary of one gateway's state.

    Args:
      sender: Host id of the gateway.
      incarnation: Identifies one start of the process.
      sequence: Number of the digest, which increases by one each time.
      address: 'ip:port' from which it sends and where it receives digests.
      stopping: Whether it is stopping and accepts no new callers.
      revision: Store revision of the last change that it has seen.
      store_age_ms: Time since the store last answered it.
      loads_by_server: Its work by backend server, without idle servers.
      crashes: Crashes of the last minute that it observed itself.
      evidence_by_service: Its evidence on roll-outs that are in progress, by
        service and by 'SERVICE\\nROUTE'.
      leaving: Registered servers that it knows to be leaving.
      configuration: Version of its configuration, 0 if it has none.
      settling_ms: Time for which the store, which was restored from an
        older copy, may still hold what is out of date; 0 if it does not.
      silence_ms_by_server: Time since data came from a backend server, for
        those in loads_by_server that sent some lately.
      serving: Whether callers lately sent it requests.
    """

    sender: str
    incarnation: str
    sequence: int
    address: str
    stopping: bool
    revision: int
    store_age_ms: int
    loads_by_server: dict[str, ServerLoad]
    crashes: tuple[Crash, ...]
    evidence_by_service: dict[str, RolloutEvidence]
    leaving: tuple[Leaving, ...] = ()
    configuration: int = 0
    settling_ms: int = 0
    silence_ms_by_server: dict[str, int] = {}
    serving: bool = True


class Relayed(NamedTuple):
    """A message that its receiver passes on to the gateways of its zone."""

    message: Digest | Note


class Probe(NamedTuple):
    """Measures how long a message takes to a peer.

    Args:
      address: 'ip:port' of the gateway that sent it first.
      sent_ms: When, by its clock.
      returned: Whether it is on its way back.
    """

    address: str
    sent_ms: int
    returned: bool


#: First byte of a datagram, by the type of the message.
TAGS_BY_TYPE: dict[type, bytes] = {
    Digest: b'd',
    Note: b'n',
    CrashReport: b'c',
    BlockReport: b'b',
    LimitReport: b'l',
    RefusalReport: b'f',
    Probe: b'p',
}
TYPES_BY_TAG = {tag: type_ for type_, tag in TAGS_BY_TYPE.items()}

RELAYED_TAG = b'r'
#: Digests name the same servers several times.
COMPRESSION_LEVEL = 1
#: Largest message that is taken out of a relayed one.
MAX_RELAYED_BYTES = 1024 * 1024

Message = (
    Digest
    | Note
    | CrashReport
    | BlockReport
    | LimitReport
    | RefusalReport
    | Probe
    | Relayed
)


def encode(message: Message) -> bytes:
    """Encodes a message as one datagram.

    Fields at the end that have their defaults are left out: processes of an
    earlier version do not know the last ones.
    """
    if isinstance(message, Relayed):
        data = encode(message.message)
        return RELAYED_TAG + zlib.compress(data, COMPRESSION_LEVEL)
    defaults = type(message)._field_defaults
    values = list(message)
    for name in reversed(message._fields):
        if name not in defaults or values[-1] != defaults[name]:
            break
        values.pop()
    return TAGS_BY_TYPE[type(message)] + msgspec.msgpack.encode(values)


def decode(data: bytes) -> Message | None:
    """Decodes a datagram.

    Fields that only later versions know are ignored.

    Args:
      data: The datagram.
    Returns: The message, None if the bytes are none.
    """
    if data[:1] == RELAYED_TAG:
        return _decode_relayed(data[1:])
    message_type: Any = TYPES_BY_TAG.get(data[:1])
    if message_type is None:
        return None
    content = memoryview(data)[1:]
    try:
        return decoding.from_msgpack(content, message_type)
    except decoding.Undecodable:
        return _decode_known(content, message_type)


def _decode_known(content: memoryview, message_type: Any) -> Message | None:
    """Decodes the fields of a message that this version knows."""
    try:
        fields = decoding.from_msgpack(content, list[msgspec.Raw])
        known = msgspec.msgpack.encode(fields[: len(message_type._fields)])
        return decoding.from_msgpack(known, message_type)
    except decoding.Undecodable:
        return None


def _decode_relayed(data: bytes) -> Relayed | None:
    """Decodes a message that is to be passed on."""
    try:
        encoded = zlib.decompressobj().decompress(data, MAX_RELAYED_BYTES)
    except zlib.error:
        return None
    if encoded[:1] not in (TAGS_BY_TYPE[Digest], TAGS_BY_TYPE[Note]):
        return None
    message = decode(encoded)
    if isinstance(message, Digest | Note):
        return Relayed(message)
    return None
