"""Computes the new configuration that an order leads to.

Also detects conflicts between orders, compares documents before and after
an order, and moves old commands from the head to the audit.
"""

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
#: The head lists all commands of this period. A command with an older id
#: may no longer be listed, so it could be applied twice and is refused.
COMMAND_HORIZON_MS = 600_000
MAX_FUTURE_MS = 60_000
AUDIT_PAGE_COMMANDS = 64
#: Above this many commands in the head, a page of them moves to the audit.
MAX_HEAD_COMMANDS = 128
#: Above this many commands within the horizon, orders are refused.
MAX_RECENT_COMMANDS = 512
MAX_HEAD_BYTES = 900_000
MAX_TEXT_CHARS = 500
RETRY_AFTER_MS = 10_000


class Difference(NamedTuple):
    """A changed field of a document.

    Args:
      path: Path of the document, 'kind/id'.
      field: Name of the field.
      before: Value before the order; None if the field did not exist.
      after: Value after the order; None if the field is removed.
    """

    path: str
    field: str
    before: Any
    after: Any


class Proposal(NamedTuple):
    """A new head, and the values that must be written before it.

    Args:
      head: The new head.
      documents_by_path: All documents that the new head refers to.
      values_by_key: Values to create before the head is written.
      superseded_keys: Keys of documents that the new head no longer
        refers to.
      differences: The changed fields.
    """

    head: documents.Head
    documents_by_path: dict[str, bytes]
    values_by_key: dict[str, bytes]
    superseded_keys: tuple[str, ...]
    differences: tuple[Difference, ...]


def check_command_id(stamp: events.Stamp, event: events.OrderReceived) -> Any:
    """Checks the command id of an order; returns a failure or None."""
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
    """Decodes a head.

    Args:
      found: The stored value; b'' if there is no head yet.
    Returns: The head; None if the value is damaged.
    """
    if not found.value:
        return configuration.EMPTY_HEAD
    loaded = configuration.load_head(found.value)
    if isinstance(loaded, Failure):
        return None
    return loaded.unwrap()


def find_command(
    head: documents.Head, command_id: str
) -> documents.Command | None:
    """Returns the command of a head that has the given id, or None."""
    for command in reversed(head['commands']):
        if command['id'] == command_id:
            return command
    return None


def find_conflict(
    head: documents.Head, event: events.OrderReceived, planned_revision: int
) -> errors.OrderConflict | None:
    """Checks for orders that changed the same documents in the meantime.

    An order conflicts, too, if it is bound to another revision than the
    head's, or if the commands since its planned revision have left the
    head.

    Args:
      head: The newest head.
      event: The order.
      planned_revision: Configuration revision that its changes are based
        on.
    Returns: The conflict, which names the operator of the last of these
      orders; None if there is no conflict.
    """
    if event.if_revision and event.if_revision != head['revision']:
        planned_revision = event.if_revision
        later = [
            c for c in head['commands'] if c['revision'] > planned_revision
        ]
        return _build_conflict(head, later)
    commands = head['commands']
    if commands and commands[0]['base_revision'] > planned_revision:
        return _build_conflict(head, commands)
    later = [
        command
        for command in commands
        if command['revision'] > planned_revision
        and not event.changes.keys().isdisjoint(command['changed'])
    ]
    return _build_conflict(head, later) if later else None


def build_proposal(
    stamp: events.Stamp,
    event: events.OrderReceived,
    store: config_store.ConfigurationStore,
    last_taken: int = 0,
) -> Result[Proposal, Any]:
    """Applies an order to the configuration that a store holds.

    Args:
      stamp: Time and randomness.
      event: The order.
      store: Holds the head that the order builds on.
      last_taken: The new revision is above this one.
    Returns: The proposal, or the first failure found.
    """
    if not event.changes:
        return Failure(errors.BadOrder('the order changes nothing', 0, ''))
    base = store.head()
    revision = max(base['revision'], last_taken) + 1
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
    failure = _validate(stamp, store, head, documents_by_path)
    if failure is not None:
        return Failure(failure)
    if len(head['commands']) > MAX_HEAD_COMMANDS:
        values_by_key.update(_move_to_audit(stamp, head))
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
    """Compares documents before and after an order, field by field.

    Args:
      before_by_path: Encoded current documents.
      changes: New documents by path; None for a deleted one.
    Returns: The fields that differ, with secrets masked.
    """
    result = []
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
            result.append(Difference(path, field, old, new))
    return tuple(result)


def is_unreferenced(head: documents.Head, key: str) -> bool:
    """Returns whether a document can be deleted.

    That is so if neither this head nor a later one can refer to it. Later
    heads refer to newer revisions only, unless this head refers to it.

    Args:
      head: The newest known head.
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
    """Returns an order's text for the audit.

    A long text is truncated, and the hash of the complete text is added.
    """
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


def _validate(
    stamp: events.Stamp,
    store: config_store.ConfigurationStore,
    head: documents.Head,
    documents_by_path: dict[str, bytes],
) -> Any:
    """Checks a proposed configuration; returns a failure or None."""
    horizon_ms = stamp.now_ms - COMMAND_HORIZON_MS
    recent = sum(c['at_ms'] > horizon_ms for c in head['commands'])
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


def _move_to_audit(
    stamp: events.Stamp, head: documents.Head
) -> dict[str, bytes]:
    """Moves the oldest commands of a head to an audit page.

    Entries that move the same commands write the same value under the
    same key, so they do not conflict.

    Returns: The page by its key; empty if its newest command is still
      within the horizon.
    """
    page = head['commands'][:AUDIT_PAGE_COMMANDS]
    if page[-1]['at_ms'] > stamp.now_ms - COMMAND_HORIZON_MS:
        return {}
    head['commands'] = head['commands'][AUDIT_PAGE_COMMANDS:]
    key = f'{AUDIT_PREFIX}{page[0]["revision"]:012d}'
    return {key: msgspec.json.encode(page)}


def _build_conflict(
    head: documents.Head, later: list[documents.Command]
) -> errors.OrderConflict:
    """Builds the failure of an order that lost against later commands."""
    operator = later[-1]['operator'] if later else ''
    changed = tuple(
        sorted({path for command in later for path in command['changed']})
    )
    return errors.OrderConflict(head['revision'], operator, changed)
