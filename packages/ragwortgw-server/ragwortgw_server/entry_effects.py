"""How an entry's process applies the effects of its reducer."""

from typing import Any

from ragwortgw_core import effects
from ragwortgw_core import events
from ragwortgw_server import clock
from ragwortgw_server import registries
from ragwortgw_wire import convert
from ragwortgw_wire import ragwortgw_pb2 as pb

#: Functions (process, effect) by the type of an entry's effect.
applies = registries.Registry()


@applies(effects.Respond)
def apply_respond(process: Any, effect: effects.Respond) -> None:
    """Sends a whole answer to the caller."""
    process.callers.respond(effect)


@applies(effects.Refuse)
def apply_refuse(process: Any, effect: effects.Refuse) -> None:
    """Sends a typed failure to the caller."""
    process.callers.refuse(effect)


@applies(effects.StartRelay)
def apply_start_relay(process: Any, effect: effects.StartRelay) -> None:
    """Pipes an attempt's stream to the caller, at the caller's pace."""
    request_id = effect.request_id

    async def sink(data: bytes) -> None:
        if process.callers.relay(request_id, data):
            await process.callers.drained(request_id)

    process.callers.start_relay(effect)
    process.links.relay(effect.attempt_id, sink)


@applies(effects.FinishRelay)
def apply_finish_relay(process: Any, effect: effects.FinishRelay) -> None:
    """Ends the caller's stream."""
    process.callers.finish_relay(effect)


@applies(effects.SendAttempt)
def apply_send_attempt(process: Any, effect: effects.SendAttempt) -> None:
    """Sends an attempt to an agent."""
    process.links.run(effect.agent_id, effect.dispatch)


@applies(effects.CancelAttempt)
def apply_cancel(process: Any, effect: effects.CancelAttempt) -> None:
    """Cancels an attempt."""
    process.links.cancel(effect.attempt_id)


@applies(effects.ConnectAgent)
def apply_connect(process: Any, effect: effects.ConnectAgent) -> None:
    """Opens the link to an agent."""
    process.links.connect(effect.agent_id, effect.address)


@applies(effects.DropAgent)
def apply_drop(process: Any, effect: effects.DropAgent) -> None:
    """Closes the link to an agent."""
    process.links.drop(effect.agent_id)


@applies(effects.SendConfiguration)
def apply_configuration(
    process: Any, effect: effects.SendConfiguration
) -> None:
    """Sends a configuration to an agent."""
    configuration = convert.configuration_to_wire(
        effect.head, effect.documents, effect.confirmed_at_ms, clock.now_ms()
    )
    frame = pb.EntryFrame(configuration=configuration)
    process.links.send(effect.agent_id, frame)


@applies(effects.SendDifference)
def apply_difference(process: Any, effect: effects.SendDifference) -> None:
    """Sends an agent what changed in the configuration."""
    difference = pb.Configuration(
        head=effect.difference,
        documents=effect.documents,
        confirmed_age_ms=max(0, clock.now_ms() - effect.confirmed_at_ms),
        base_revision=effect.base_revision,
    )
    frame = pb.EntryFrame(configuration=difference)
    process.links.send(effect.agent_id, frame)


@applies(effects.SendBill)
def apply_bill(process: Any, effect: effects.SendBill) -> None:
    """Leaves a copy of a bill with an agent."""
    frame = pb.EntryFrame(bill=convert.bill_to_wire(effect.bill))
    process.links.send(effect.agent_id, frame)


@applies(effects.ConfirmBills)
def apply_confirm(process: Any, effect: effects.ConfirmBills) -> None:
    """Tells an agent that bills are counted."""
    flushed = pb.BillsFlushed(bill_ids=effect.bill_ids)
    process.links.send(effect.agent_id, pb.EntryFrame(bills_flushed=flushed))


@applies(effects.CallPlatform)
def apply_call(process: Any, effect: effects.CallPlatform) -> None:
    """Calls the platform service."""
    process.spawn(
        process.call_platform(effect.op_id, effect.call, effect.deadline_ms)
    )


@applies(effects.RateAnswer)
def apply_rate(process: Any, effect: effects.RateAnswer) -> None:
    """Asks the rating service."""
    if process.rating is None:
        process.emit(events.RatingFailed(effect.op_id))
        return
    process.spawn(_rate(process, effect))


async def _rate(process: Any, effect: effects.RateAnswer) -> None:
    process.emit(await process.rating.rate(effect))


@applies(effects.AnswerOrder)
def apply_answer(process: Any, effect: effects.AnswerOrder) -> None:
    """Answers an operator's order."""
    process.operators.answer(effect)


@applies(effects.Exit)
def apply_exit(process: Any, effect: effects.Exit) -> None:
    """Ends the process."""
    process.exit()
