"""Works out what an order makes of the configuration it is based on."""

from collections.abc import Mapping
import hashlib
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import config_store
from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import ids
from ragwortgw_core import object_properties
from ragwortgw_core import platform

AUDIT_PREFIX = 'config/audit/'
#: A command id older than this may have left the head, so it is refused.
COMMAND_HORIZON_MS = 600_000
MAX_FUTURE_MS = 60_000
AUDIT_PAGE_COMMANDS = 64
#: A head that holds this many commands moves a page of them to the audit.
MAX_HEAD_COMMANDS = 128
#: Beyond this many commands within the horizon, orders are refused.
MAX_RECENT_COMMANDS = 512
MAX_HEAD_BYTES = 900_000
MAX_TEXT_CHARS = 500
RETRY_AFTER_MS = 10_000


class Difference(NamedTuple):
    """A field of a document and its values before and after an order.

    A document that is created or deleted has None before or after.
    """

    path: str
    field: str
    before: Any
    after: Any


class Proposal(NamedTuple):
    """A head to be written and what must be written before it.

    Args:
      head: The new head.
      documents_by_path: Every document of the new head.
      values_by_key: Values to be created before the head is written.
      superseded_keys: Documents that the new head no longer names.
      differences: What changes, field by field.
    """

    head: documents.Head
    documents_by_path: dict[str, bytes]
    values_by_key: dict[str, bytes]
    superseded_keys: tuple[str, ...]
    differences: tuple[Difference, ...]


def check_command_id(stamp: events.Stamp, event: events.OrderReceived) -> Any:
    """Returns what is wrong with an order by itself, or None."""
    command_ms = ids.uuid7_ms(event.command_id)
    if command_ms is None:
        return errors.BadOrder('command id is not a UUIDv7', 0, '')
    age_ms = stamp.now_ms - command_ms
    if age_ms < -MAX_FUTURE_MS:
        return errors.BadOrder('command id is of the future', 0, '')
    if age_ms > COMMAND_HORIZON_MS - MAX_FUTURE_MS:
        return errors.OrderUnknown(event.command_id)
    return None


def decode_head(found: platform.Found) -> documents.Head | None:
    """Decodes a head; b'' is the head that does not exist yet."""
    if not found.value:
        return configuration.EMPTY_HEAD
    loaded = configuration.load_head(found.value)
    if isinstance(loaded, Failure):
        return None
    return loaded.unwrap()


def find_command(
    head: documents.Head, command_id: str
) -> documents.Command | None:
    """Looks for a command in a head."""
    for command in reversed(head['commands']):
        if command['id'] == command_id:
            return command
    return None


def find_conflict(
    head: documents.Head, event: events.OrderReceived, since: int
) -> errors.OrderConflict | None:
    """Tells whether other orders came before one that touch the same.

    Args:
      head: The newest head.
      event: The order.
      since: The revision on which its changes were worked out.
    Returns: The conflict with the last such order, or None.
    """
    if event.if_revision and event.if_revision != head['revision']:
        since = event.if_revision
        later = [c for c in head['commands'] if c['revision'] > since]
        return _lost(head, later)
    commands = head['commands']
    if commands and commands[0]['base_revision'] > since:
        return _lost(head, commands)
    later = [
        command
        for command in commands
        if command['revision'] > since
        and not event.changes.keys().isdisjoint(command['changed'])
    ]
    return _lost(head, later) if later else None


def build_proposal(
    stamp: events.Stamp,
    event: events.OrderReceived,
    store: config_store.ConfigurationStore,
    above: int = 0,
) -> Result[Proposal, Any]:
    """Applies an order to the configuration that a store holds.

    Args:
      stamp: Time and randomness.
      event: The order.
      store: Holds the head that the order builds on.
      above: Revisions up to this one are taken.
    Returns: The proposal, or the first fault found.
    """
    if not event.changes:
        return Failure(errors.BadOrder('the order changes nothing', 0, ''))
    base = store.head()
    revision = max(base['revision'], above) + 1
    objects = dict(base['objects'])
    documents_by_path = dict(store.documents_by_path)
    values_by_key: dict[str, bytes] = {}
    superseded: list[str] = []
    for path, document in event.changes.items():
        if path in objects:
            superseded.append(configuration.object_key(path, objects[path]))
        elif document is None:
            return Failure(errors.ObjectNotFound(path))
        if document is None:
            del objects[path], documents_by_path[path]
            continue
        value = msgspec.json.encode(document)
        objects[path] = revision
        documents_by_path[path] = value
        values_by_key[configuration.object_key(path, revision)] = value
    command = _command(stamp, event, base, revision)
    head = documents.Head(
        revision=revision,
        objects=objects,
        commands=[*base['commands'], command],
    )
    fault = _fault(stamp, store, head, documents_by_path)
    if fault is not None:
        return Failure(fault)
    if len(head['commands']) > MAX_HEAD_COMMANDS:
        values_by_key.update(_split_audit(stamp, head))
    return Success(
        Proposal(
            head,
            documents_by_path,
            values_by_key,
            tuple(superseded),
            compare_documents(store.documents_by_path, event.changes),
        )
    )


def compare_documents(
    before_by_path: Mapping[str, bytes], changes: Mapping[str, Any]
) -> tuple[Difference, ...]:
    """Compares documents with what an order makes of them.

    Args:
      before_by_path: Encoded documents in force.
      changes: New documents by path, None for one that goes.
    Returns: The fields that differ; secrets are masked.
    """
    found = []
    for path, after in sorted(changes.items()):
        kind = path.partition('/')[0]
        encoded = before_by_path.get(path)
        before = msgspec.json.decode(encoded) if encoded else {}
        after = after or {}
        for field in dict.fromkeys([*before, *after]):
            old, new = before.get(field), after.get(field)
            if old == new:
                continue
            old = object_properties.mask_field(kind, field, old)
            new = object_properties.mask_field(kind, field, new)
            found.append(Difference(path, field, old, new))
    return tuple(found)


def is_unreferenced(head: documents.Head, key: str) -> bool:
    """Tells whether no head from this one on can name a document.

    Args:
      head: The newest head known.
      key: Platform key of the document.
    """
    if not key.startswith(configuration.OBJECT_PREFIX):
        return False
    path, _, revision = key.rpartition('@')
    path = path.removeprefix(configuration.OBJECT_PREFIX)
    if int(revision) > head['revision']:
        return False
    return head['objects'].get(path) != int(revision)


def audit_text(event: events.OrderReceived) -> str:
    """Returns the text kept for the audit; a hash stands for the rest."""
    if len(event.text) <= MAX_TEXT_CHARS:
        return event.text
    digest = hashlib.sha256(event.text.encode()).hexdigest()
    return f'{event.text[:MAX_TEXT_CHARS]} sha256:{digest}'


def _command(
    stamp: events.Stamp,
    event: events.OrderReceived,
    base: documents.Head,
    revision: int,
) -> documents.Command:
    return documents.Command(
        id=event.command_id,
        operator=event.operator,
        at_ms=stamp.now_ms,
        revision=revision,
        base_revision=base['revision'],
        text=audit_text(event),
        changed=sorted(event.changes),
    )


def _fault(
    stamp: events.Stamp,
    store: config_store.ConfigurationStore,
    head: documents.Head,
    documents_by_path: dict[str, bytes],
) -> Any:
    recent_ms = stamp.now_ms - COMMAND_HORIZON_MS
    recent = sum(c['at_ms'] > recent_ms for c in head['commands'])
    if recent > MAX_RECENT_COMMANDS:
        return errors.Overloaded(RETRY_AFTER_MS)
    if len(msgspec.json.encode(head)) > MAX_HEAD_BYTES:
        return errors.InvalidObject('head', 'too many documents')
    built = configuration.build(head, documents_by_path, store.snapshot)
    if isinstance(built, Failure):
        return built.failure()
    if built.unwrap().system['ledger_mode'] != 'claims':
        return errors.InvalidObject(
            'system/system.ledger_mode', 'grants are not served'
        )
    old = store.head()['objects'].get('system/system')
    if old is None or store.snapshot is None:
        return None
    system = store.snapshot.system
    for field in ('ledger_shards', 'ledger_mode'):
        if built.unwrap().system[field] != system[field]:
            return errors.InvalidObject(
                f'system/system.{field}', 'can not change while in use'
            )
    return None


def _split_audit(
    stamp: events.Stamp, head: documents.Head
) -> dict[str, bytes]:
    """Moves the oldest commands of a head to an audit page.

    All that move a page from the same commands write the same value.
    """
    page = head['commands'][:AUDIT_PAGE_COMMANDS]
    if page[-1]['at_ms'] > stamp.now_ms - COMMAND_HORIZON_MS:
        return {}
    head['commands'] = head['commands'][AUDIT_PAGE_COMMANDS:]
    key = f'{AUDIT_PREFIX}{page[0]["revision"]:012d}'
    return {key: msgspec.json.encode(page)}


def _lost(
    head: documents.Head, later: list[documents.Command]
) -> errors.OrderConflict:
    operator = later[-1]['operator'] if later else ''
    changed = tuple(
        sorted({path for command in later for path in command['changed']})
    )
    return errors.OrderConflict(head['revision'], operator, changed)
