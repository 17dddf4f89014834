"""Applies operators' orders to the configuration, each at most once."""

from typing import Any, Literal, NamedTuple

import msgspec
from returns.result import Failure

from ragwortgw_core import config_store
from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_core import effects
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import order_changes
from ragwortgw_core import platform
from ragwortgw_core import platform_calls

OWNER = 'orders'
ORDER_TIMEOUT_MS = 10_000
CALL_TIMEOUT_MS = 2_000
RETRY_MS = 100
RETRY_AFTER_MS = 1_000
MAX_OPEN_ORDERS = 64
#: Superseded documents are deleted this long after they left the head.
DELETE_DELAY_MS = 60_000
MAX_DELETIONS = 4_096

Phase = Literal['read', 'hold', 'objects', 'head', 'settle']


class OrderTag(NamedTuple):
    """Marks a call of an order; path names the document written."""

    op_id: int
    step: int
    path: str


class DeleteTag(NamedTuple):
    """Marks the deletion of a superseded document."""


class Deletion(NamedTuple):
    """A document to be deleted once no reader can need it."""

    key: str
    due_at_ms: int


class PendingOrder:
    """An order on its way into the configuration."""

    __slots__ = (
        'base',
        'deadline_ms',
        'event',
        'phase',
        'proposal',
        'retry_at_ms',
        'sent_at_ms',
        'since',
        'step',
        'uncertain_base',
        'unwritten',
    )

    def __init__(
        self, event: events.OrderReceived, since: int, deadline_ms: int
    ) -> None:
        self.event = event
        self.since = since
        self.sent_at_ms = 0
        self.deadline_ms = deadline_ms
        self.phase: Phase = 'read'
        self.step = 0
        self.retry_at_ms: int | None = None
        self.base: platform.Found | None = None
        self.proposal: order_changes.Proposal | None = None
        self.unwritten: set[str] = set()
        self.uncertain_base: int | None = None


class OrderProcessor:
    """Takes orders and changes config/head by compare-and-swap.

    An order reads the head, waits until the store holds that revision,
    writes its documents, then the head. The command id in the head tells
    whether an order was applied when an answer was lost.

    Args:
      calls: Makes the platform calls.
      store: Holds the configuration that orders build on.
    """

    def __init__(
        self,
        calls: platform_calls.PlatformCalls,
        store: config_store.ConfigurationStore,
    ) -> None:
        self._calls = calls
        self._store = store
        self._orders_by_id: dict[int, PendingOrder] = {}
        self._deletions: list[Deletion] = []
        calls.register(OWNER, self)
        store.listeners.append(self._on_configuration)

    def submit(
        self,
        stamp: events.Stamp,
        event: events.OrderReceived,
        since: int | None = None,
    ) -> list[Any]:
        """Starts to apply an order.

        Args:
          stamp: Time and randomness.
          event: The order; command_id is a UUIDv7.
          since: The revision on which its changes were worked out; None
            means the one that the store holds now.
        Returns: Effects; AnswerOrder follows now or later.
        """
        if len(self._orders_by_id) >= MAX_OPEN_ORDERS:
            return [_refuse(event, errors.Overloaded(RETRY_AFTER_MS))]
        fault = order_changes.check_command_id(stamp, event)
        if fault is not None:
            return [_refuse(event, fault)]
        since = self._store.revision if since is None else since
        order = PendingOrder(event, since, stamp.now_ms + ORDER_TIMEOUT_MS)
        self._orders_by_id[event.op_id] = order
        return [_received(event), *self._read_head(stamp, order)]

    def waiting(self) -> int:
        """Returns the number of orders without an answer."""
        return len(self._orders_by_id)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Retries, gives up overdue orders and deletes old documents."""
        out: list[Any] = []
        for order in list(self._orders_by_id.values()):
            if stamp.now_ms >= order.deadline_ms:
                out += self._give_up(stamp, order)
            elif order.phase == 'hold':
                out += self._propose_when_held(stamp, order)
            elif order.retry_at_ms and order.retry_at_ms <= stamp.now_ms:
                order.retry_at_ms = None
                out += self._retry(stamp, order)
        return out + self._delete_due(stamp)

    def on_result(
        self,
        stamp: events.Stamp,
        tag: Any,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Applies the answer to a call of an order."""
        if isinstance(tag, DeleteTag):
            return self._on_delete(stamp, call, result)
        order = self._orders_by_id.get(tag.op_id)
        if order is None or order.step != tag.step:
            return []
        if stamp.now_ms >= order.deadline_ms:
            return self._late(stamp, order, call, result)
        if isinstance(call, platform.Get):
            return self._on_head(stamp, order, call, result)
        assert isinstance(call, platform.Put)
        if tag.path:
            return self._on_object(stamp, order, tag, call, result)
        return self._on_head_written(stamp, order, call, result)

    def _read_head(
        self, stamp: events.Stamp, order: PendingOrder
    ) -> list[Any]:
        order.phase = 'read'
        order.step += 1
        call = platform.Get(configuration.HEAD_KEY)
        return self._call(stamp, order, '', call)

    def _call(
        self,
        stamp: events.Stamp,
        order: PendingOrder,
        path: str,
        call: platform.Call,
    ) -> list[Any]:
        order.sent_at_ms = stamp.now_ms
        tag = OrderTag(order.event.op_id, order.step, path)
        deadline_ms = min(stamp.now_ms + CALL_TIMEOUT_MS, order.deadline_ms)
        return self._calls.call(stamp, OWNER, tag, call, deadline_ms)

    def _retry(self, stamp: events.Stamp, order: PendingOrder) -> list[Any]:
        if order.phase == 'objects':
            return self._write_objects(stamp, order)
        return self._read_head(stamp, order)

    def _retry_later(
        self, stamp: events.Stamp, order: PendingOrder
    ) -> list[Any]:
        order.retry_at_ms = stamp.now_ms + RETRY_MS + stamp.seed % RETRY_MS
        return []

    def _on_head(
        self,
        stamp: events.Stamp,
        order: PendingOrder,
        call: platform.Get,
        result: platform.Result,
    ) -> list[Any]:
        if isinstance(result, platform.Absent):
            result = platform.Found(call.key, b'', 0)
        if not isinstance(result, platform.Found):
            return self._retry_later(stamp, order)
        return self._on_base(stamp, order, result)

    def _on_base(
        self, stamp: events.Stamp, order: PendingOrder, found: platform.Found
    ) -> list[Any]:
        head = order_changes.decode_head(found)
        if head is None:
            fault = errors.InvalidObject('head', 'damaged')
            return self._finish(order, _refuse(order.event, fault))
        command = order_changes.find_command(head, order.event.command_id)
        if command is not None:
            return self._on_applied(stamp, order, found, command)
        if order.uncertain_base is not None:
            if found.revision > order.uncertain_base:
                order.uncertain_base = None
        conflict = order_changes.find_conflict(head, order.event, order.since)
        order.base = found
        if conflict is not None:
            self._discard(stamp, order)
            return self._finish(order, _refuse(order.event, conflict))
        order.phase = 'hold'
        out: list[Any] = []
        if found.revision:
            out = self._store.apply_head(stamp, found, order.sent_at_ms)
        return out + self._propose_when_held(stamp, order)

    def _on_configuration(self, stamp: events.Stamp) -> list[Any]:
        out: list[Any] = []
        for order in list(self._orders_by_id.values()):
            if order.phase == 'hold':
                out += self._propose_when_held(stamp, order)
        return out

    def _propose_when_held(
        self, stamp: events.Stamp, order: PendingOrder
    ) -> list[Any]:
        assert order.base is not None
        if order.phase != 'hold':
            return []
        if self._holds_base(order):
            return self._propose(stamp, order)
        head = order_changes.decode_head(order.base)
        assert head is not None
        if self._store.revision > head['revision']:
            order.phase = 'read'
            return self._retry_later(stamp, order)
        return []

    def _propose(self, stamp: events.Stamp, order: PendingOrder) -> list[Any]:
        proposed = order_changes.build_proposal(
            stamp, order.event, self._store
        )
        if isinstance(proposed, Failure):
            refusal = _refuse(order.event, proposed.failure())
            return self._finish(order, refusal)
        order.proposal = proposed.unwrap()
        if order.event.dry_run:
            return self._finish(order, _accept(order, dry_run=True))
        order.unwritten = set(order.proposal.values_by_key)
        return self._write_objects(stamp, order)

    def _write_objects(
        self, stamp: events.Stamp, order: PendingOrder
    ) -> list[Any]:
        assert order.proposal is not None
        order.phase = 'objects'
        order.step += 1
        if not order.unwritten:
            return self._write_head(stamp, order)
        out: list[Any] = []
        for key in sorted(order.unwritten):
            value = order.proposal.values_by_key[key]
            put = platform.Put(key, value, 0)
            out += self._call(stamp, order, key, put)
        return out

    def _on_object(
        self,
        stamp: events.Stamp,
        order: PendingOrder,
        tag: OrderTag,
        call: platform.Put,
        result: platform.Result,
    ) -> list[Any]:
        if isinstance(result, platform.Unavailable):
            return self._retry_later(stamp, order)
        if isinstance(result, platform.Conflict):
            if result.value != call.value:
                return self._skip_revision(stamp, order)
        order.unwritten.discard(tag.path)
        if order.unwritten:
            return []
        order.retry_at_ms = None
        return self._write_head(stamp, order)

    def _skip_revision(
        self, stamp: events.Stamp, order: PendingOrder
    ) -> list[Any]:
        """Leaves a revision whose document another order wrote first."""
        assert order.proposal is not None
        skipped = order.proposal.head['revision']
        proposed = order_changes.build_proposal(
            stamp, order.event, self._store, above=skipped
        )
        if isinstance(proposed, Failure) or not self._holds_base(order):
            return self._read_head(stamp, order)
        order.proposal = proposed.unwrap()
        order.unwritten = set(order.proposal.values_by_key)
        return self._write_objects(stamp, order)

    def _holds_base(self, order: PendingOrder) -> bool:
        assert order.base is not None
        return self._store.head_value == order.base.value

    def _write_head(
        self, stamp: events.Stamp, order: PendingOrder
    ) -> list[Any]:
        assert order.proposal is not None and order.base is not None
        order.phase = 'head'
        order.step += 1
        value = msgspec.json.encode(order.proposal.head)
        put = platform.Put(configuration.HEAD_KEY, value, order.base.revision)
        return self._call(stamp, order, '', put)

    def _on_head_written(
        self,
        stamp: events.Stamp,
        order: PendingOrder,
        call: platform.Put,
        result: platform.Result,
    ) -> list[Any]:
        assert order.proposal is not None
        if isinstance(result, platform.Written):
            found = platform.Found(call.key, call.value, result.revision)
            out = self._store.apply_own_write(
                stamp, found, order.proposal.documents_by_path
            )
            self._delete_later(stamp, order.proposal.superseded_keys)
            return out + self._finish(order, _accept(order))
        if isinstance(result, platform.Conflict):
            found = platform.Found(result.key, result.value, result.revision)
            return self._on_base(stamp, order, found)
        if isinstance(result, platform.Unavailable) and result.maybe_done:
            order.uncertain_base = call.revision
        return self._retry_later(stamp, order)

    def _on_applied(
        self,
        stamp: events.Stamp,
        order: PendingOrder,
        found: platform.Found,
        command: documents.Command,
    ) -> list[Any]:
        out = self._store.apply_head(stamp, found, order.sent_at_ms)
        if command['text'] != order_changes.audit_text(order.event):
            fault = errors.BadOrder('command id of another order', 0, '')
            return out + self._finish(order, _refuse(order.event, fault))
        answer = _applied(order.event, command)
        return out + self._finish(order, answer)

    def _late(
        self,
        stamp: events.Stamp,
        order: PendingOrder,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        if isinstance(result, platform.Written) and order.phase == 'head':
            assert isinstance(call, platform.Put)
            return self._on_head_written(stamp, order, call, result)
        return self._give_up(stamp, order)

    def _give_up(self, stamp: events.Stamp, order: PendingOrder) -> list[Any]:
        failure: Any = errors.PlatformUnavailable(RETRY_AFTER_MS)
        unanswered = order.phase == 'head' and order.retry_at_ms is None
        if unanswered or order.uncertain_base is not None:
            failure = errors.OrderUnknown(order.event.command_id)
        else:
            self._discard(stamp, order)
        return self._finish(order, _refuse(order.event, failure))

    def _finish(self, order: PendingOrder, answer: Any) -> list[Any]:
        self._orders_by_id.pop(order.event.op_id, None)
        return [answer, _answered(order.event, answer)]

    def _discard(self, stamp: events.Stamp, order: PendingOrder) -> None:
        if order.proposal is not None:
            self._delete_later(stamp, tuple(order.proposal.values_by_key))

    def _delete_later(
        self, stamp: events.Stamp, keys: tuple[str, ...]
    ) -> None:
        due_at_ms = stamp.now_ms + DELETE_DELAY_MS
        self._deletions += [Deletion(key, due_at_ms) for key in keys]
        del self._deletions[:-MAX_DELETIONS]

    def _delete_due(self, stamp: events.Stamp) -> list[Any]:
        out: list[Any] = []
        while self._deletions and self._deletions[0].due_at_ms <= stamp.now_ms:
            key = self._deletions.pop(0).key
            if not order_changes.is_unreferenced(self._store.head(), key):
                continue
            out += self._calls.call(
                stamp,
                OWNER,
                DeleteTag(),
                platform.Get(key),
                stamp.now_ms + CALL_TIMEOUT_MS,
            )
        return out

    def _on_delete(
        self,
        stamp: events.Stamp,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        if not isinstance(result, platform.Found):
            return []
        if not isinstance(call, platform.Get):
            return []
        delete = platform.Delete(result.key, result.revision)
        deadline_ms = stamp.now_ms + CALL_TIMEOUT_MS
        return self._calls.call(stamp, OWNER, DeleteTag(), delete, deadline_ms)


def new_order_processor(
    calls: platform_calls.PlatformCalls, store: config_store.ConfigurationStore
) -> OrderProcessor:
    """Builds an order book without orders.

    Args:
      calls: Makes the platform calls.
      store: Holds the configuration that orders build on.
    Returns: The order book.
    """
    return OrderProcessor(calls, store)


def _received(event: events.OrderReceived) -> effects.Record:
    return effects.Record(
        'order-received',
        {
            'command': event.command_id,
            'operator': event.operator,
            'changed': sorted(event.changes),
            'dry_run': event.dry_run,
        },
    )


def _answered(
    event: events.OrderReceived, answer: effects.AnswerOrder
) -> effects.Record:
    fields: dict[str, Any] = {
        'command': event.command_id,
        'changed': sorted(event.changes),
        'status': answer.status,
    }
    if 'revision' in answer.body:
        fields['revision'] = answer.body['revision']
    return effects.Record('order-answered', fields)


def _refuse(event: events.OrderReceived, failure: Any) -> effects.AnswerOrder:
    body = errors.command_problem(failure)
    body['fields'] = failure._asdict()
    return effects.AnswerOrder(event.op_id, failure.status, body)


def _accept(order: PendingOrder, dry_run: bool = False) -> effects.AnswerOrder:
    assert order.proposal is not None
    command = order.proposal.head['commands'][-1]
    answer = _applied(order.event, command)
    if dry_run:
        answer.body['dry_run'] = True
        answer.body['changes'] = [
            each._asdict() for each in order.proposal.differences
        ]
    return answer


def _applied(
    event: events.OrderReceived, command: documents.Command
) -> effects.AnswerOrder:
    body: dict[str, Any] = {
        'command_id': command['id'],
        'revision': command['revision'],
        'base_revision': command['base_revision'],
        'changed': list(command['changed']),
        'dry_run': False,
    }
    return effects.AnswerOrder(event.op_id, 200, body)
