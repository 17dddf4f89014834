"""Keeps prompts that crash backend servers away from them.

Collects crashes and sound answers, and exchanges them with the peers. A
block that explains the crashes goes into quarantine if statistics leave no
doubt: its requests are refused. Otherwise it is confined: its requests wait
for the result of a trial. Blocks in quarantine are tried again as well.
"""

from collections.abc import Iterable

from typing import Any

from ragwortgw_core import effects as core_effects
from ragwortgw_core import errors
from ragwortgw_core import events as core_events
from ragwortgw_gateway import admission
from ragwortgw_gateway import block_statistics
from ragwortgw_gateway import block_trials
from ragwortgw_gateway import completion
from ragwortgw_gateway import crash_evidence
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import effects
from ragwortgw_gateway import events
from ragwortgw_gateway import fleet
from ragwortgw_gateway import gateway_state
from ragwortgw_gateway import placement
from ragwortgw_gateway import selection
from ragwortgw_gateway import tiers

State = gateway_state.State
REDUCER = gateway_state.REDUCER

#: Age up to which crashes and sound answers are reported.
REPORTED_AGE_MS = 5_000
#: Time between two evaluations of the evidence, whose cost grows with the
#: crashes of the last minute.
EVALUATION_MS = 100
#: Time until a request that waits for a trial is looked at again.
HOLD_MS = 50


def record_broken(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    reason: events.Reason,
) -> list[Any]:
    """Records a broken attempt if its server may have crashed.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
      attempt: The attempt.
      reason: Why it broke.
    Returns: Effects.
    """
    process = fleet.ServerProcess(attempt.server.id, attempt.server.started_ms)
    if reason == 'refused' and state.crash_evidence.confirm(process):
        state.crash_reports.add_news(stamp.now_ms)
    prompt = active.request.prompt
    if reason != 'reset' or prompt is None:
        return []
    answering_ms = stamp.now_ms - attempt.answered_ms
    if attempt.answered_ms and answering_ms > crash_evidence.SOUND_AFTER_MS:
        return []
    _record_trial_reset(state, stamp, active, attempt, process)
    suspect = crash_evidence.Suspect(
        attempt.sent_ms, active.request.fingerprint, prompt.shared_ids
    )
    first = state.crash_evidence.record_broken(process, suspect, stamp.now_ms)
    state.crash_reports.add_news(stamp.now_ms)
    if not first:
        return []
    fields = {**process._asdict(), 'request': active.request.id}
    return [
        core_effects.Record('server-connections-lost', fields),
        core_effects.Count('gateway_servers_lost', ()),
    ]


def record_sound(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> list[Any]:
    """Clears the blocks of a prompt whose answer went on after its begin.

    Returns: Effects.
    """
    prompt = active.request.prompt
    if prompt is None:
        return []
    outputs: list[Any] = []
    for block in prompt.shared_ids:
        if state.block_trials.is_trial(block, attempt.id):
            outputs += _end_trial_by_answer(
                state, stamp, active, attempt, block
            )
    if not state.crash_evidence:
        return outputs
    began_ms = attempt.answered_ms or attempt.sent_ms
    if state.crash_evidence.record_sound(prompt.shared_ids, began_ms):
        state.crash_reports.add_news(stamp.now_ms)
    return outputs


def record_sent(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> list[Any]:
    """Counts an attempt for the traffic of its blocks, and begins a trial.

    Returns: Effects.
    """
    prompt = active.request.prompt
    if prompt is None:
        return []
    state.block_traffic.record_sent(prompt.shared_ids, stamp.now_ms)
    block, active.trial_block = active.trial_block, ''
    if not block or not state.block_trials.record_sent(
        block, active.request.id, attempt.id
    ):
        return []
    state.block_trials.reserve(block, attempt.server.id)
    return _record_trial(state, stamp, block, 'sent', active, attempt)


def choose_server(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
    servers: list[documents.BackendServer],
) -> placement.ServerChoice | None:
    """Selects the server of the next attempt, None if none is available.

    A trial goes to the server that runs the fewest requests, since a crash
    would break them, and since their crash would pass for that of the trial.
    It is reserved when the trial is claimed, and gets no others meanwhile.
    """
    reserved = state.block_trials.reserved_servers(stamp.now_ms)
    own_id = state.block_trials.reserved_server(active.trial_block)
    own = [server for server in servers if server.id == own_id]
    free = [server for server in servers if server.id not in reserved]
    if not active.trial_block:
        return selection.choose_server(
            state, stamp, active, model_choice, free or servers
        )
    for some in (own, free, servers):
        server_choice = _choose_quietest(
            state, stamp, active, model_choice, some
        )
        if server_choice is not None:
            return server_choice
    return None


def _choose_quietest(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    model_choice: tiers.ModelChoice | None,
    servers: list[documents.BackendServer],
) -> placement.ServerChoice | None:
    """Selects the server that runs the fewest requests."""
    quietest = sorted(
        servers, key=lambda each: state.loads.outstanding(each.id).running
    )
    for server in quietest:
        server_choice = selection.choose_server(
            state, stamp, active, model_choice, [server]
        )
        if server_choice is not None:
            return server_choice
    return None


def hold(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
) -> list[Any] | None:
    """Holds a request whose prompt has a block in quarantine or in doubt.

    Args:
      state: The gateway.
      stamp: Time and random seed.
      active: The request.
    Returns: Effects; None if it may be sent, also as a trial.
    """
    active.trial_block = ''
    prompt = active.request.prompt
    if prompt is None:
        return None
    refused = state.quarantine.find(prompt.shared_ids)
    block = refused or state.block_trials.find_confined(prompt.shared_ids)
    if not block:
        return None
    if active.attempts_by_id:
        return []
    turn = _take_turn(state, stamp, active, block)
    if turn is block_trials.Turn.SEND:
        active.trial_block = block
        return None
    if turn is block_trials.Turn.HELD and refused:
        return completion.fail_request(
            state, stamp, active, refusal(state, active)
        )
    active.retry_ms = stamp.now_ms + HOLD_MS
    return []


def _take_turn(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    block: str,
) -> block_trials.Turn:
    """Returns whether a request is the next trial of a block.

    One that must not run twice is none, and neither is one with another
    suspected block, which would not show which of them crashed the server,
    unless no other request comes.
    """
    prompt = active.request.prompt
    assert prompt is not None
    ids = prompt.shared_ids
    held = state.quarantine.blocks.intersection(ids)
    if not active.route.repeatable or len(held - {block}) > 0:
        return block_trials.Turn.HELD
    others = [each for each in ids if each != block]
    if not state.block_trials.is_overdue(
        block, stamp.now_ms
    ) and state.crash_evidence.suspected(others, stamp.now_ms):
        return block_trials.Turn.HELD
    turn = state.block_trials.take_turn(
        block,
        active.request.id,
        stamp.now_ms,
        bool(state.peers_by_id),
    )
    if turn is not block_trials.Turn.HELD:
        _reserve_server(state, stamp, active, block)
        state.block_reports.add_news(stamp.now_ms)
    return turn


def _reserve_server(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    block: str,
) -> None:
    """Reserves a server for a trial when it is claimed."""
    if state.block_trials.reserved_server(block):
        return
    model_choice = selection.choose_model(state, stamp, active)
    _, servers = selection.choose_version(state, stamp, active)
    reserved = state.block_trials.reserved_servers(stamp.now_ms)
    free = [server for server in servers if server.id not in reserved]
    server_choice = _choose_quietest(
        state, stamp, active, model_choice, free or servers
    )
    if server_choice is not None:
        state.block_trials.reserve(block, server_choice.server.id)


def refusal(
    state: State, active: gateway_state.ActiveRequest
) -> errors.RequestSuspected | None:
    """Returns why a request is refused, None if it has no block for that."""
    prompt = active.request.prompt
    if prompt is None:
        return None
    block = state.quarantine.find(prompt.shared_ids)
    if not block:
        return None
    active.set_failure('block in quarantine', block)
    return errors.RequestSuspected(block, admission.QUARANTINE_RETRY_MS)


@REDUCER.handles(events.CrashReportReceived)
def on_crash_report(
    state: State, stamp: core_events.Stamp, event: events.CrashReportReceived
) -> list[Any]:
    """Adds what a peer knows."""
    report = event.report
    if report.sender == state.host_id:
        return []
    state.crash_evidence.merge_remote(report, stamp.now_ms)
    outputs: list[Any] = []
    for block, left_ms in report.quarantined:
        if state.block_trials.released_lately(block, stamp.now_ms):
            continue
        if state.quarantine.add(block, stamp, left_ms):
            outputs += _on_quarantined(state, stamp, block, 'peer')
    return outputs


@REDUCER.handles(events.BlockReportReceived)
def on_block_report(
    state: State, stamp: core_events.Stamp, event: events.BlockReportReceived
) -> list[Any]:
    """Adds a peer's traffic, its trials and what it released."""
    report = event.report
    if report.sender == state.host_id:
        return []
    traffic = block_statistics.Traffic(
        report.attempts, report.attempts_by_block
    )
    state.block_traffic.merge_remote(report.sender, traffic, stamp.now_ms)
    held = state.quarantine.blocks
    for trial in report.trials:
        block = trial.block
        if block not in held and state.crash_evidence.suspected(
            (block,), stamp.now_ms
        ):
            # Evidence arrives at different times; the doubt is shared.
            state.block_trials.confine_one(block, stamp.now_ms)
        state.block_trials.merge_remote(report.sender, trial, stamp.now_ms)
    outputs: list[Any] = []
    for block, age_ms in report.released_ages_ms.items():
        released_ms = stamp.now_ms - max(0, age_ms)
        # The block may have crashed servers again since.
        held_ms = state.quarantine.held_ms(block, stamp.now_ms)
        if held_ms > stamp.now_ms - released_ms:
            outputs += _release(state, stamp, block, released_ms, 'peer')
    return outputs


def on_tick(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Puts blocks in quarantine, releases others, and reports to peers."""
    outputs: list[Any] = []
    if state.crash_evidence:
        state.crash_evidence.expire(stamp.now_ms)
    if stamp.now_ms >= state.crash_evidence_due_ms:
        state.crash_evidence_due_ms = stamp.now_ms + EVALUATION_MS
        outputs += _hold_culprits(state, stamp)
    outputs += _end_trials(state, stamp)
    released, calls = state.quarantine.on_tick(stamp)
    outputs += calls
    for block in released:
        outputs += on_released(state, block, 'expired')
    return [*outputs, *_send_reports(state, stamp)]


def _hold_culprits(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Puts blocks that crash servers in quarantine, or confines them."""
    outputs: list[Any] = []
    in_doubt: list[str] = []
    state.block_traffic.expire(stamp.now_ms)
    for block in state.crash_evidence.find_culprits(
        stamp.now_ms, state.quarantine.blocks
    ):
        share = state.block_traffic.share(block, stamp.now_ms)
        waves = state.crash_evidence.waves(block, stamp.now_ms)
        compared = len(state.crash_evidence.suspected_blocks())
        if block_statistics.is_significant(share, waves, compared):
            state.quarantine.add(block, stamp)
            outputs += _on_quarantined(state, stamp, block, 'crashes')
        else:
            in_doubt += state.crash_evidence.rivals(block, stamp.now_ms)
    in_doubt += state.crash_evidence.frequent(
        stamp.now_ms, state.quarantine.blocks
    )
    # A block stays in doubt until a sound answer, though others explain the
    # crashes as well.
    in_doubt += state.crash_evidence.suspected(
        state.block_trials.confined, stamp.now_ms
    )
    added, cleared = state.block_trials.confine(
        set(in_doubt) - state.quarantine.blocks, stamp.now_ms
    )
    for block in added:
        outputs += _record_hold(state, stamp, block, 'block-confined', {})
        outputs.append(core_effects.Count('gateway_confinements', ()))
        state.block_reports.add_news(stamp.now_ms)
    for block in cleared:
        fields = {'block': block}
        outputs.append(core_effects.Record('block-cleared', fields))
    return outputs


def _record_hold(
    state: State,
    stamp: core_events.Stamp,
    block: str,
    kind: str,
    fields: dict[str, Any],
) -> list[Any]:
    """Logs that a block is held, with the evidence for it."""
    waves = state.crash_evidence.waves(block, stamp.now_ms)
    share = state.block_traffic.share(block, stamp.now_ms)
    chance = block_statistics.chance_of_waves(share.bound, waves)
    evidence = {
        'block': block,
        **fields,
        'waves': len(waves),
        'waves_with_block': sum(wave.held for wave in waves),
        'broken_attempts': sum(wave.attempts for wave in waves),
        'traffic_share': round(share.estimate, 4),
        'chance': float(f'{chance:.3g}'),
        'compared_blocks': len(state.crash_evidence.suspected_blocks()),
    }
    return [core_effects.Record(kind, evidence)]


def _end_trials(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Ends the trials that showed nothing, such as refused requests."""
    if not state.block_trials:
        return []
    state.block_trials.expire(stamp.now_ms)
    outputs = _end_trials_by_crash(state, stamp)
    for block in state.block_trials.end_others(
        state.requests_by_id, state.requests_by_attempt, stamp.now_ms
    ):
        state.block_reports.add_news(stamp.now_ms)
        outputs += _record_trial(state, stamp, block, 'inconclusive')
    return outputs


def _record_trial(
    state: State,
    stamp: core_events.Stamp,
    block: str,
    result: str,
    active: gateway_state.ActiveRequest | None = None,
    attempt: gateway_state.Attempt | None = None,
) -> list[Any]:
    """Logs and reports a step of a trial."""
    state.block_reports.add_news(stamp.now_ms)
    fields: dict[str, Any] = {'block': block, 'result': result}
    if active is not None and attempt is not None:
        fields.update(
            request=active.request.id,
            server=attempt.server.id,
            running_there=state.loads.outstanding(attempt.server.id).running,
            after_ms=stamp.now_ms - attempt.sent_ms,
        )
    return [
        core_effects.Record('block-trial', fields),
        core_effects.Count('gateway_block_trials', (('result', result),)),
    ]


def _record_trial_reset(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    process: fleet.ServerProcess,
) -> None:
    """Records that the connection of a trial was reset."""
    for block in _tried_blocks(state, active, attempt):
        doubtful = _is_doubtful(state, stamp, active, attempt, block)
        reset = block_trials.Reset(process, stamp.now_ms, doubtful)
        state.block_trials.record_reset(block, reset)


def _end_trials_by_crash(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Holds the blocks of trials whose servers crashed.

    Servers that live on reset connections as well.
    """
    outputs: list[Any] = []
    for block, reset in state.block_trials.resets.items():
        since_ms = reset.at_ms + crash_evidence.READ_DELAY_MS
        if state.heard_since(reset.process, since_ms):
            state.block_trials.clear_reset(block)
            continue
        confirmed = state.crash_evidence.is_confirmed(reset.process)
        if not confirmed and (
            stamp.now_ms - reset.at_ms < crash_evidence.CONFIRM_MS
        ):
            continue
        outputs += _record_trial(state, stamp, block, 'crashed')
        if block not in state.quarantine.blocks:
            if reset.doubtful and not state.block_trials.record_doubtful(
                block, stamp.now_ms
            ):
                continue
            state.quarantine.add(block, stamp)
            outputs += _on_quarantined(state, stamp, block, 'trial')
        else:
            state.block_trials.record_crash(block, stamp.now_ms)
    return outputs


def _is_doubtful(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    block: str,
) -> bool:
    """Returns whether something else may have crashed the server of a trial.

    That is another request there, or another suspected block of the prompt.
    """
    assert active.request.prompt is not None
    if state.loads.outstanding(attempt.server.id).running:
        return True
    others = list(active.request.prompt.shared_ids)
    others.remove(block)
    return bool(state.crash_evidence.suspected(others, stamp.now_ms))


def _tried_blocks(
    state: State,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
) -> Iterable[str]:
    assert active.request.prompt is not None
    return [
        block
        for block in active.request.prompt.shared_ids
        if state.block_trials.is_trial(block, attempt.id)
    ]


def _end_trial_by_answer(
    state: State,
    stamp: core_events.Stamp,
    active: gateway_state.ActiveRequest,
    attempt: gateway_state.Attempt,
    block: str,
) -> list[Any]:
    """Releases the block of a trial that got a sound answer."""
    return [
        *_record_trial(state, stamp, block, 'sound', active, attempt),
        *_release(state, stamp, block, stamp.now_ms, 'sound'),
    ]


def _release(
    state: State,
    stamp: core_events.Stamp,
    block: str,
    released_ms: int,
    reason: str,
) -> list[Any]:
    """Releases a block that was found sound, here and in the store."""
    held = block in state.quarantine.blocks
    calls = state.quarantine.release(block, stamp)
    state.block_trials.release(block, released_ms)
    state.crash_evidence.record_sound((block,), released_ms)
    state.block_reports.add_news(stamp.now_ms)
    if not held:
        return calls
    fields = {'block': block, 'reason': reason}
    return [
        *calls,
        core_effects.Record('block-released', fields),
        core_effects.LogChange('prefix block released', fields),
    ]


def on_stored(state: State, stamp: core_events.Stamp, block: str) -> list[Any]:
    """Handles a block that the store names.

    Another gateway may have written it before it received the release.
    """
    if state.block_trials.released_lately(block, stamp.now_ms):
        return state.quarantine.release(block, stamp)
    return _on_quarantined(state, stamp, block, 'store')


def on_released(state: State, block: str, reason: str) -> list[Any]:
    """Handles a block that is sent to servers again."""
    state.crash_evidence.forget(block)
    state.block_trials.drop(block)
    fields = {'block': block, 'reason': reason}
    return [
        core_effects.Record('block-released', fields),
        core_effects.LogChange('prefix block released', fields),
    ]


def _on_quarantined(
    state: State, stamp: core_events.Stamp, block: str, source: str
) -> list[Any]:
    """Ends the requests that may crash further servers.

    Answers that have begun go on: what crashes a server does so at once.
    """
    state.crash_reports.add_news(stamp.now_ms)
    state.block_reports.add_news(stamp.now_ms)
    held_ms = state.quarantine.held_ms(block, stamp.now_ms)
    state.block_trials.hold(block, stamp.now_ms, held_ms)
    outputs: list[Any] = []
    ended = 0
    for active in list(state.requests_by_id.values()):
        prompt = active.request.prompt
        if prompt is None or block not in prompt.shared_ids:
            continue
        waiting = [
            attempt
            for attempt in active.attempts_by_id.values()
            if not attempt.answered_ms
        ]
        for attempt in waiting:
            active.executions += 1
            outputs.append(completion.cancel_attempt(state, stamp, attempt.id))
        failure = refusal(state, active)
        ended += not active.attempts_by_id
        outputs += completion.fail_request(state, stamp, active, failure)
    fields = {'block': block, 'source': source, 'requests_ended': ended}
    return [
        *_record_hold(state, stamp, block, 'block-quarantined', fields),
        core_effects.LogChange('prefix block crashes servers', fields),
        core_effects.Count(
            'gateway_blocks_quarantined', (('source', source),)
        ),
        *outputs,
    ]


def _send_reports(state: State, stamp: core_events.Stamp) -> list[Any]:
    """Sends peers the reports that are due.

    A report on crashes comes with the traffic that they are weighed against.
    """
    crashes_due = state.crash_reports.take_due(stamp.now_ms)
    blocks_due = state.block_reports.take_due(stamp.now_ms)
    outputs: list[Any] = []
    if crashes_due:
        outputs.append(_crash_report(state, stamp))
    if crashes_due or blocks_due:
        outputs.append(_block_report(state, stamp))
    return outputs


def _crash_report(
    state: State, stamp: core_events.Stamp
) -> effects.SendCrashReport:
    report = digests.CrashReport(
        state.host_id,
        state.crash_evidence.local_crashes(stamp.now_ms, REPORTED_AGE_MS),
        state.crash_evidence.local_sound_ages_ms(
            stamp.now_ms, REPORTED_AGE_MS
        ),
        state.quarantine.describe(stamp.now_ms),
    )
    return effects.SendCrashReport(state.live_addresses, report)


def _block_report(
    state: State, stamp: core_events.Stamp
) -> effects.SendBlockReport:
    """Reports traffic, trials and releases."""
    suspected = state.crash_evidence.suspected_blocks()
    traffic = state.block_traffic.local(suspected, stamp.now_ms)
    report = digests.BlockReport(
        state.host_id,
        traffic.attempts,
        dict(traffic.by_block),
        tuple(state.block_trials.describe(stamp.now_ms)),
        state.block_trials.describe_releases(stamp.now_ms),
    )
    return effects.SendBlockReport(state.live_addresses, report)
