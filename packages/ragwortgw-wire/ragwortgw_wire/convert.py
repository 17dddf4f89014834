"""Converts values of the core to protobuf messages and back."""

import typing
from typing import Any, NamedTuple, TypeVar

import msgspec
from returns import result as results
from returns.result import Result

from ragwortgw_core import decoding
from ragwortgw_core import documents
from ragwortgw_core import errors
from ragwortgw_core import platform
from ragwortgw_core import requests
from ragwortgw_wire import ragwortgw_pb2 as pb

Value = TypeVar('Value')
MAX_REMAINING_MS = 24 * 60 * 60 * 1000
_KINDS = typing.get_args(documents.ModelKind)
_PRIORITIES = typing.get_args(documents.Priority)
_RAN = typing.get_args(errors.Ran)


class ReceivedDispatch(NamedTuple):
    """A dispatch and the entry that sent it."""

    entry_id: str
    dispatch: requests.Dispatch


class ReceivedConfiguration(NamedTuple):
    """A whole configuration and when it was last confirmed, Unix ms."""

    head: bytes
    documents: dict[str, bytes]
    confirmed_at_ms: int


class HeldConfiguration(NamedTuple):
    """The configuration that a process holds, its revision, the hosts."""

    revision: int
    head: bytes
    documents: dict[str, bytes]
    confirmed_at_ms: int
    hosts: tuple[platform.HostEntry, ...] = ()


class ReceivedBreak(NamedTuple):
    """How an attempt ended without a whole answer."""

    ran: errors.Ran
    crashed: bool
    reason: str


class Refusal(NamedTuple):
    """A typed failure and the configuration revision behind it."""

    failure: Any
    revision: int


def dispatch_to_wire(
    dispatch: requests.Dispatch, entry_id: str, now_ms: int
) -> pb.Dispatch:
    """Builds the message of a dispatch.

    Args:
      dispatch: The dispatch; its deadline becomes the time left.
      entry_id: The sender.
      now_ms: Unix ms.
    Returns: The message.
    """
    fields = dispatch._asdict()
    fields.update(fields.pop('prices')._asdict())
    deadline_ms = fields.pop('deadline_ms')
    remaining_ms = min(max(0, deadline_ms - now_ms), MAX_REMAINING_MS)
    return pb.Dispatch(entry_id=entry_id, remaining_ms=remaining_ms, **fields)


def dispatch_from_wire(
    message: pb.Dispatch, now_ms: int
) -> Result[ReceivedDispatch, errors.MalformedMessage]:
    """Reads a dispatch.

    Args:
      message: The message.
      now_ms: Unix ms of the receiver; the deadline counts from here.
    Returns: The dispatch and its sender, or what is wrong with it.
    """
    wrong = _wrong_field(message)
    if wrong:
        return results.Failure(errors.MalformedMessage('Dispatch', wrong))
    names = [
        name
        for name in requests.Dispatch._fields
        if name not in ('kind', 'priority', 'deadline_ms', 'prices')
    ]
    fields = {name: getattr(message, name) for name in names}
    prices = requests.Prices(
        *(getattr(message, name) for name in requests.Prices._fields)
    )
    dispatch = requests.Dispatch(
        kind=typing.cast(documents.ModelKind, message.kind),
        priority=typing.cast(documents.Priority, message.priority),
        deadline_ms=now_ms + message.remaining_ms,
        prices=prices,
        **fields,
    )
    return results.Success(ReceivedDispatch(message.entry_id, dispatch))


def _wrong_field(message: pb.Dispatch) -> str:
    for name in ('attempt_id', 'request_id', 'entry_id', 'version'):
        if not getattr(message, name):
            return name
    if message.kind not in _KINDS:
        return 'kind'
    if message.priority not in _PRIORITIES:
        return 'priority'
    if message.remaining_ms > MAX_REMAINING_MS:
        return 'remaining_ms'
    return ''


def load_to_wire(load: requests.Load, now_ms: int) -> pb.Load:
    """Builds the message of a load, with its age in place of its time."""
    return pb.Load(
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        cache_fill=load.cache_fill,
        age_ms=max(0, now_ms - load.at_ms),
    )


def load_from_wire(message: pb.Load, now_ms: int) -> requests.Load:
    """Reads a load; its time is on the receiver's clock, Unix ms."""
    return requests.Load(
        at_ms=max(0, now_ms - message.age_ms),
        running=message.running,
        waiting=message.waiting,
        slots=message.slots,
        cache_fill=message.cache_fill,
    )


def bill_to_wire(bill: requests.Bill) -> pb.Bill:
    """Builds the message of a bill."""
    return pb.Bill(**bill._asdict())


def bill_from_wire(
    message: pb.Bill,
) -> Result[requests.Bill, errors.MalformedMessage]:
    """Reads a bill, or says which field is wrong."""
    for name in ('id', 'organisation'):
        if not getattr(message, name):
            return results.Failure(errors.MalformedMessage('Bill', name))
    fields = {name: getattr(message, name) for name in requests.Bill._fields}
    return results.Success(requests.Bill(**fields))


def bills_from_wire(
    messages: typing.Iterable[pb.Bill],
) -> tuple[requests.Bill, ...]:
    """Reads bills and leaves out those that are malformed."""
    read = [bill_from_wire(message) for message in messages]
    return tuple(
        bill.unwrap() for bill in read if isinstance(bill, results.Success)
    )


def configuration_to_wire(
    head: bytes,
    documents_by_path: dict[str, bytes],
    confirmed_at_ms: int,
    now_ms: int,
) -> pb.Configuration:
    """Builds the message of a whole configuration.

    Args:
      head: The value of config/head.
      documents_by_path: Documents by 'kind/id'.
      confirmed_at_ms: When the platform service last confirmed it, Unix ms.
      now_ms: Unix ms.
    Returns: The message, with an age in place of the time.
    """
    return pb.Configuration(
        head=head,
        documents=documents_by_path,
        confirmed_age_ms=max(0, now_ms - confirmed_at_ms),
    )


def hosts_to_wire(
    hosts: typing.Iterable[platform.HostEntry],
) -> list[pb.Host]:
    """Builds the messages of a host list."""
    return [pb.Host(**host._asdict()) for host in hosts]


def hosts_from_wire(
    messages: typing.Iterable[pb.Host],
) -> tuple[platform.HostEntry, ...]:
    """Reads a host list and leaves out lines without id or address."""
    return tuple(
        platform.HostEntry(
            *(getattr(message, name) for name in platform.HostEntry._fields)
        )
        for message in messages
        if message.id and message.address
    )


def configuration_from_wire(
    message: pb.Configuration, now_ms: int
) -> Result[ReceivedConfiguration, errors.MalformedMessage]:
    """Reads a whole configuration, or says which field is wrong."""
    if not message.head:
        return results.Failure(
            errors.MalformedMessage('Configuration', 'head')
        )
    if message.base_revision:
        return results.Failure(
            errors.MalformedMessage('Configuration', 'base_revision')
        )
    return results.Success(
        ReceivedConfiguration(
            message.head,
            dict(message.documents),
            max(0, now_ms - message.confirmed_age_ms),
        )
    )


def refusal_to_wire(failure: Any, revision: int) -> pb.Refused:
    """Builds the message of a refusal from a registered failure."""
    return pb.Refused(
        slug=failure.slug,
        fields=msgspec.json.encode(failure._asdict()),
        revision=revision,
    )


def refusal_from_wire(message: pb.Refused) -> Refusal:
    """Reads a refusal; one that is not understood becomes UnknownRefusal."""
    return Refusal(_failure(message.slug, message.fields), message.revision)


def _failure(slug: str, encoded: bytes) -> Any:
    cls: Any = errors.by_slug.get(slug)
    if cls is None:
        return errors.UnknownRefusal(slug)
    try:
        fields = decoding.from_json(encoded, dict[str, Any])
        values = [fields[name] for name in cls._fields]
        return msgspec.convert(values, cls)
    except (KeyError, msgspec.ValidationError, decoding.Undecodable):
        return errors.UnknownRefusal(slug)


def finished_to_wire(answer: requests.Answer, pieces: int) -> pb.Finished:
    """Builds the end of an attempt.

    Args:
      answer: The answer; its body is empty when it went as chunks.
      pieces: Number of stream pieces sent before.
    Returns: The message.
    """
    return pb.Finished(
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        input_tokens=answer.usage['input_tokens'],
        output_tokens=answer.usage['output_tokens'],
        cached_tokens=answer.usage.get('cached_tokens', 0),
        pieces=pieces,
    )


def finished_from_wire(
    message: pb.Finished,
) -> Result[requests.Answer, errors.MalformedMessage]:
    """Reads the end of an attempt, or says which field is wrong."""
    if not 100 <= message.status <= 599:
        return results.Failure(errors.MalformedMessage('Finished', 'status'))
    usage = documents.Usage(
        input_tokens=message.input_tokens,
        output_tokens=message.output_tokens,
        cached_tokens=message.cached_tokens,
    )
    return results.Success(
        requests.Answer(
            message.status, message.content_type, message.body, usage
        )
    )


def broken_from_wire(message: pb.Broken) -> ReceivedBreak:
    """Reads a break; what can not be understood may have run."""
    ran: errors.Ran = 'unknown'
    if message.ran in _RAN:
        ran = typing.cast(errors.Ran, message.ran)
    return ReceivedBreak(ran, message.crashed, message.reason)
