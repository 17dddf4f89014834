"""Steps that check what the stand-ins recorded and callers received."""

import base64

import behave
import msgspec

from ragwortgw_core import configuration
from ragwortgw_fakes import calls
from ragwortgw_fakes import invariants
from ragwortgw_fakes import system

TARGET_MS = 5_000


@behave.then('all are answered')
def step_all_answered(context):
    assert context.last
    failed = [each for each in context.last if not each.ok]
    assert not failed, [(each.answer, each.wanted.prompt) for each in failed]


@behave.then('all are answered by version "{version}"')
def step_all_by(context, version):
    step_all_answered(context)
    versions = {each.version for each in context.last}
    assert versions == {version}, versions


@behave.then('all are refused as {slug}')
def step_all_refused(context, slug):
    assert context.last
    for each in context.last:
        assert each.problem(), each
        assert each.problem()['type'].endswith(f':{slug}'), each.problem()


@behave.then('the last is refused as {slug}')
def step_last_refused(context, slug):
    context.last = context.last[-1:]
    step_all_refused(context, slug)


@behave.then('refusals name a time to come back')
def step_retry_after(context):
    refused = [each for each in context.last if each.problem()]
    assert refused
    for each in refused:
        assert int(each.answer.headers['retry-after']) > 0, each.answer


@behave.then('answers are whole and their own')
def step_whole(context):
    invariants.check_whole(context.sent)


@behave.then('refusals that say not run are true')
def step_refusals(context):
    found = invariants.runs(context.system)
    invariants.check_refusals_true(context.sent, found)


@behave.then('each answered request is billed exactly once')
def step_billed(context):
    whole = context.system

    def billed():
        lines = invariants.bills(whole)
        try:
            invariants.check_billed_once(context.sent, lines)
        except invariants.Violated as violated:
            context.violated = violated
            return False
        return True

    try:
        system.wait_for(billed, 'billed once', 30)
    except system.ConditionNotMet:
        raise context.violated from None
    invariants.check_bills_have_runs(
        invariants.bills(whole), invariants.runs(whole)
    )


@behave.then('each key ran at most once')
def step_at_most_once(context):
    invariants.check_at_most_once(invariants.runs(context.system))


@behave.then('the key ran exactly {count:d} time')
def step_exactly(context, count):
    found = [
        run
        for run in invariants.runs(context.system)
        if run['idempotency_key'] == context.key
    ]
    assert len(found) == count, found


@behave.then('organisations ran only on what they may use')
def step_permitted(context):
    invariants.check_permitted(
        invariants.runs(context.system),
        {'litoral': {'proof@v1', 'proof@v2'}, 'savinja': {'lunch@v1'}},
    )


@behave.then('no run of "{version}" began after that')
def step_none_after(context, version):
    invariants.check_none_after(
        invariants.runs(context.system), version, context.in_force_at_ms
    )


@behave.then('no run of "{version}" began later than 5 s after the order')
def step_none_after_target(context, version):
    invariants.check_none_after(
        invariants.runs(context.system),
        version,
        context.ordered_at_ms + TARGET_MS,
    )


@behave.then('no session moved')
def step_sessions(context):
    context.versions_by_session = invariants.check_sessions(context.sent)


@behave.then('sessions are spread over {count:d} versions')
def step_spread(context, count):
    versions = set(context.versions_by_session.values())
    assert len(versions) == count, versions


@behave.then('{name:Name} began no run later than {seconds:d} s after that')
def step_left(context, name, seconds):
    limit_ms = context.stopping_at_ms + seconds * 1000
    backend = context.system.backends_by_name[name]
    late = [
        run
        for run in backend.server.records()['runs']
        if run['begin_ms'] > limit_ms
    ]
    assert not late, late


@behave.then('the backend servers crashed {count:d} times at most')
def step_crashes(context, count):
    crashes = [
        crash
        for backend in context.system.backends_by_name.values()
        for crash in backend.server.records()['crashes']
    ]
    assert 0 < len(crashes) <= count, crashes


@behave.then('every entry holds the newest revision')
def step_revisions(context):
    context.system.wait_in_force()


@behave.then('the platform service holds the newest revision')
def step_stored_revision(context):
    revision = context.system.wait_in_force()
    system.wait_for(
        lambda: stored_revision(context.system) == revision,
        'the newest revision is stored',
    )


def stored_revision(whole):
    answer = calls.call(
        whole.platform.address,
        'GET',
        f'/v1/values/{configuration.HEAD_KEY}',
        {},
        b'',
    )
    value = base64.b64decode(answer.json()['value'])
    return msgspec.json.decode(value)['revision']


@behave.then('none of them is cut')
def step_none_cut(context):
    """A connection refused after the stop began was never taken in."""
    cut = [
        each
        for each in context.last
        if each.answer is None and each.began_ms + 50 < each.ended_ms
    ]
    assert not cut, cut
    assert any(each.ok for each in context.last)
