"""How a gateway's process applies the effects of its reducer."""

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_gateway import effects
from ragwortgw_server import registries

#: Functions (process, effect) by the type of a gateway's effect.
applies = registries.Registry()


@applies(effects.Send)
def apply_send(process: Any, effect: effects.Send) -> None:
    """Sends an attempt to a backend server."""
    process.calls.send(effect.dispatch)


@applies(effects.Deliver)
def apply_deliver(process: Any, effect: effects.Deliver) -> None:
    """Lets the events of an attempt go to the caller."""
    process.calls.deliver(effect.attempt_id)


@applies(effects.Cancel)
def apply_cancel(process: Any, effect: effects.Cancel) -> None:
    """Gives an attempt up."""
    process.calls.cancel(effect.attempt_id)


@applies(effects.Abandon)
def apply_abandon(process: Any, effect: effects.Abandon) -> None:
    """Gives an attempt up that timed out."""
    process.calls.abandon(effect.attempt_id, effect.reason)


@applies(effects.Respond)
def apply_respond(process: Any, effect: effects.Respond) -> None:
    """Sends a whole answer to the caller."""
    process.callers.respond(effect)


@applies(effects.Refuse)
def apply_refuse(process: Any, effect: effects.Refuse) -> None:
    """Sends a typed failure to the caller."""
    process.callers.refuse(effect.request_id, effect.failure)


@applies(effects.FinishStream)
def apply_finish(process: Any, effect: effects.FinishStream) -> None:
    """Ends the caller's stream."""
    process.callers.finish_stream(effect.request_id)


@applies(effects.CutStream)
def apply_cut(process: Any, effect: effects.CutStream) -> None:
    """Cuts the caller's stream."""
    process.callers.cut_stream(effect.request_id)


@applies(effects.DropServer)
def apply_drop(process: Any, effect: effects.DropServer) -> None:
    """Closes idle connections to a backend server."""
    process.calls.pool.drop(effect.server_id)


@applies(effects.PauseServer)
def apply_pause(process: Any, effect: effects.PauseServer) -> None:
    """Withdraws the attempts at a backend server that are not sent yet."""
    process.calls.withdraw_unsent(effect.server_id)


@applies(effects.LimitCallers)
def apply_limits(process: Any, effect: effects.LimitCallers) -> None:
    """Puts limits on callers into force."""
    process.limit_callers(effect.limits)


@applies(effects.SendDigest)
def apply_digest(process: Any, effect: effects.SendDigest) -> None:
    """Tells other gateways what this one knows."""
    process.peers.send(effect.addresses, effect.digest)


@applies(effects.SendNote)
def apply_note(process: Any, effect: effects.SendNote) -> None:
    """Tells other gateways what was just sent."""
    process.peers.send(effect.addresses, effect.note)


@applies(effects.SendRelayed)
def apply_relayed(process: Any, effect: effects.SendRelayed) -> None:
    """Sends a message to gateways that pass it on in their zones."""
    process.peers.send(effect.addresses, effect.relayed)


@applies(effects.SendProbe)
def apply_probe(process: Any, effect: effects.SendProbe) -> None:
    """Measures how long messages to other gateways take."""
    process.peers.send(effect.addresses, effect.probe)


@applies(effects.SendCrashReport)
def apply_crash_report(process: Any, effect: effects.SendCrashReport) -> None:
    """Tells other gateways of crashes of backend servers."""
    process.peers.send(effect.addresses, effect.report)


@applies(effects.SendBlockReport)
def apply_block_report(process: Any, effect: effects.SendBlockReport) -> None:
    """Reports prompts that may crash servers to other gateways."""
    process.peers.send(effect.addresses, effect.report)


@applies(effects.SendLimitReport)
def apply_limit_report(process: Any, effect: effects.SendLimitReport) -> None:
    """Tells other gateways of limits of backend servers."""
    process.peers.send(effect.addresses, effect.report)


@applies(effects.SendRefusalReport)
def apply_refusal_report(
    process: Any, effect: effects.SendRefusalReport
) -> None:
    """Sends peers the requests that this gateway refused."""
    process.peers.send(effect.addresses, effect.report)


@applies(effects.FetchBeliefs)
def apply_fetch(process: Any, effect: effects.FetchBeliefs) -> None:
    """Asks another gateway for what it holds."""
    process.spawn(process.peers.fetch(effect.address, effect.revision))


@applies(effects.CloseCallers)
def apply_close_callers(process: Any, effect: effects.CloseCallers) -> None:
    """Closes idle connections of callers."""
    process.caller_server.close_idle()


@applies(effects.CloseListener)
def apply_close_listener(process: Any, effect: effects.CloseListener) -> None:
    """Lets no caller send anything any more."""
    process.caller_server.drain()
    process.caller_server.close_idle()


@applies(core_effects.CallPlatform)
def apply_call(process: Any, effect: core_effects.CallPlatform) -> None:
    """Calls the store."""
    process.spawn(
        process.call_store(effect.op_id, effect.call, effect.deadline_ms)
    )


@applies(core_effects.Record)
def apply_record(process: Any, effect: core_effects.Record) -> None:
    """Writes a line of the log, unless there are too many."""
    process.record(effect)


@applies(core_effects.Exit)
def apply_exit(process: Any, effect: core_effects.Exit) -> None:
    """Ends the process in this turn of the loop."""
    process.loop.stop()
