"""Commits operators' orders to the stored configuration.

The head of the configuration lists all documents with their revisions and
the recent commands with their ids. It is changed by compare-and-swap, and
an order whose id it lists is not applied again. So an order can be
retried after its answer was lost.
"""

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
#: Delay before a document that the head no longer refers to is deleted,
#: so that processes with an older head can still read it.
DELETE_DELAY_MS = 60_000
MAX_DELETIONS = 4_096

Phase = Literal['read', 'hold', 'objects', 'head', 'settle']


class OrderTag(NamedTuple):
    """Tag of a platform call that belongs to an order.

    Args:
      op_id: Operation number of the order.
      step: Step of the order; results of earlier steps are ignored.
      path: Key of the document that is written; '' for the head.
    """

    op_id: int
    step: int
    path: str


class DeleteTag(NamedTuple):
    """Tag of the calls that delete an unreferenced document."""


class Deletion(NamedTuple):
    """A document to be deleted when no reader can need it any more."""

    key: str
    due_at_ms: int


class PendingOrder:
    """An order that has not been answered yet.

    Args:
      event: The order.
      planned_revision: Configuration revision that its changes are based
        on.
      deadline_ms: Unix ms at which the order fails.

    Attributes:
      phase: 'read' while the head is read, 'hold' while the store loads
        that head, 'objects' and 'head' while these are written.
      step: Number of the current step; see OrderTag.
      retry_at_ms: Unix ms of the next attempt; None while none is due.
      base: The head that the order builds on.
      proposal: What is to be written.
      unwritten: Keys of the proposal's documents still to be written.
      uncertain_base: Head revision that a write with an unknown outcome
        was based on, or None.
    """

    __slots__ = (
        'base',
        'deadline_ms',
        'event',
        'phase',
        'planned_revision',
        'proposal',
        'retry_at_ms',
        'sent_at_ms',
        'step',
        'uncertain_base',
        'unwritten',
    )

    def __init__(
        self,
        event: events.OrderReceived,
        planned_revision: int,
        deadline_ms: int,
    ) -> None:
        self.event = event
        self.planned_revision = planned_revision
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
    """Applies orders by compare-and-swap on config/head.

    An order reads the head, waits until the configuration store has loaded
    that revision, writes its documents, then writes the head. If an answer
    was lost, the command ids in the head show whether the order was
    applied.

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
        planned_revision: int | None = None,
    ) -> list[Any]:
        """Starts to apply an order.

        Args:
          stamp: Time and randomness.
          event: The order; command_id is a UUIDv7.
          planned_revision: Configuration revision that its changes are
            based on; None for the one that the store holds now.
        Returns: Effects; an AnswerOrder is among them or follows later.
        """
        if len(self._orders_by_id) >= MAX_OPEN_ORDERS:
            return [_refuse(event, errors.Overloaded(RETRY_AFTER_MS))]
        failure = order_changes.check_command_id(stamp, event)
        if failure is not None:
            return [_refuse(event, failure)]
        planned_revision = (
            self._store.revision
            if planned_revision is None
            else planned_revision
        )
        order = PendingOrder(
            event, planned_revision, stamp.now_ms + ORDER_TIMEOUT_MS
        )
        self._orders_by_id[event.op_id] = order
        return [_received_record(event), *self._read_head(stamp, order)]

    def waiting(self) -> int:
        """Returns the number of orders without an answer."""
        return len(self._orders_by_id)

    def on_tick(self, stamp: events.Stamp) -> list[Any]:
        """Retries calls, fails overdue orders, deletes old documents."""
        out: list[Any] = []
        for order in list(self._orders_by_id.values()):
            if stamp.now_ms >= order.deadline_ms:
                out += self._fail_overdue(stamp, order)
            elif order.phase == 'hold':
                out += self._propose_if_loaded(stamp, order)
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
        """Handles the result of a call of an order or of a deletion."""
        if isinstance(tag, DeleteTag):
            return self._on_delete_result(stamp, call, result)
        order = self._orders_by_id.get(tag.op_id)
        if order is None or order.step != tag.step:
            return []
        if stamp.now_ms >= order.deadline_ms:
            return self._on_late_result(stamp, order, call, result)
        if isinstance(call, platform.Get):
            return self._on_head_read(stamp, order, call, result)
        assert isinstance(call, platform.Put)
        if tag.path:
            return self._on_object_written(stamp, order, tag, call, result)
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

    def _on_head_read(
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
        return self._rebase(stamp, order, result)

    def _rebase(
        self, stamp: events.Stamp, order: PendingOrder, found: platform.Found
    ) -> list[Any]:
        """Bases an order on the given head, unless it ends here.

        It ends if the head lists it as applied, or if another order that
        the head lists conflicts with it.
        """
        head = order_changes.decode_head(found)
        if head is None:
            failure = errors.InvalidObject('head', 'damaged')
            return self._finish(order, _refuse(order.event, failure))
        command = order_changes.find_command(head, order.event.command_id)
        if command is not None:
            return self._finish_applied(stamp, order, found, command)
        if order.uncertain_base is not None:
            if found.revision > order.uncertain_base:
                order.uncertain_base = None
        conflict = order_changes.find_conflict(
            head, order.event, order.planned_revision
        )
        order.base = found
        if conflict is not None:
            self._discard_proposal(stamp, order)
            return self._finish(order, _refuse(order.event, conflict))
        order.phase = 'hold'
        out: list[Any] = []
        if found.revision:
            out = self._store.apply_head(stamp, found, order.sent_at_ms)
        return out + self._propose_if_loaded(stamp, order)

    def _on_configuration(self, stamp: events.Stamp) -> list[Any]:
        out: list[Any] = []
        for order in list(self._orders_by_id.values()):
            if order.phase == 'hold':
                out += self._propose_if_loaded(stamp, order)
        return out

    def _propose_if_loaded(
        self, stamp: events.Stamp, order: PendingOrder
    ) -> list[Any]:
        """Builds the proposal once the store has loaded the base head."""
        assert order.base is not None
        if order.phase != 'hold':
            return []
        if self._calls.restores.settling(stamp.now_ms):
            # A later head may be written again.
            order.phase = 'read'
            return self._retry_later(stamp, order)
        if self._is_base_loaded(order):
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

    def _on_object_written(
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
        """Moves to the next revision; another order wrote at this one first.

        That order has stored a different document at the same path and
        revision, but has not written the head.
        """
        assert order.proposal is not None
        skipped = order.proposal.head['revision']
        proposed = order_changes.build_proposal(
            stamp, order.event, self._store, last_taken=skipped
        )
        if isinstance(proposed, Failure) or not self._is_base_loaded(order):
            return self._read_head(stamp, order)
        order.proposal = proposed.unwrap()
        order.unwritten = set(order.proposal.values_by_key)
        return self._write_objects(stamp, order)

    def _is_base_loaded(self, order: PendingOrder) -> bool:
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
            return self._rebase(stamp, order, found)
        if isinstance(result, platform.Unavailable) and result.maybe_done:
            order.uncertain_base = call.revision
        return self._retry_later(stamp, order)

    def _finish_applied(
        self,
        stamp: events.Stamp,
        order: PendingOrder,
        found: platform.Found,
        command: documents.Command,
    ) -> list[Any]:
        """Answers an order whose command id is in the head."""
        out = self._store.apply_head(stamp, found, order.sent_at_ms)
        if command['text'] != order_changes.audit_text(order.event):
            failure = errors.BadOrder('command id of another order', 0, '')
            return out + self._finish(order, _refuse(order.event, failure))
        answer = _applied_answer(order.event, command)
        return out + self._finish(order, answer)

    def _on_late_result(
        self,
        stamp: events.Stamp,
        order: PendingOrder,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        if isinstance(result, platform.Written) and order.phase == 'head':
            assert isinstance(call, platform.Put)
            return self._on_head_written(stamp, order, call, result)
        return self._fail_overdue(stamp, order)

    def _fail_overdue(
        self, stamp: events.Stamp, order: PendingOrder
    ) -> list[Any]:
        """Fails an order; with OrderUnknown if it may have been applied."""
        failure: Any = errors.PlatformUnavailable(RETRY_AFTER_MS)
        unanswered = order.phase == 'head' and order.retry_at_ms is None
        if unanswered or order.uncertain_base is not None:
            failure = errors.OrderUnknown(order.event.command_id)
        else:
            self._discard_proposal(stamp, order)
        return self._finish(order, _refuse(order.event, failure))

    def _finish(self, order: PendingOrder, answer: Any) -> list[Any]:
        self._orders_by_id.pop(order.event.op_id, None)
        return [answer, _answered_record(order.event, answer)]

    def _discard_proposal(
        self, stamp: events.Stamp, order: PendingOrder
    ) -> None:
        """Schedules the deletion of the documents of a proposal."""
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

    def _on_delete_result(
        self,
        stamp: events.Stamp,
        call: platform.Call,
        result: platform.Result,
    ) -> list[Any]:
        """Deletes a document at the revision that was read."""
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
    """Builds an order processor without orders.

    Args:
      calls: Makes the platform calls.
      store: Holds the configuration that orders build on.
    Returns: The order processor.
    """
    return OrderProcessor(calls, store)


def _received_record(event: events.OrderReceived) -> effects.Record:
    return effects.Record(
        'order-received',
        {
            'command': event.command_id,
            'operator': event.operator,
            'changed': sorted(event.changes),
            'dry_run': event.dry_run,
        },
    )


def _answered_record(
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
    answer = _applied_answer(order.event, command)
    if dry_run:
        answer.body['dry_run'] = True
        answer.body['changes'] = [
            difference._asdict() for difference in order.proposal.differences
        ]
    return answer


def _applied_answer(
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
