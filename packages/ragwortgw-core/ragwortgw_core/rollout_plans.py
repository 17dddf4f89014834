"""Planners of the verbs for roll-outs, withdrawals and drains."""

from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import language
from ragwortgw_core import object_properties
from ragwortgw_core import plan_registry
from ragwortgw_core import rollouts


@plan_registry.planner('rollout')
def plan_rollout(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    model = order.name.text
    if model not in snapshot.models_by_id:
        return Failure(plan_registry.not_found(snapshot, 'model', order.name))
    candidate, baseline, steps = order.properties
    for word in (candidate.values[0], baseline.values[0]):
        failure = check_version(snapshot, model, word)
        if failure is not None:
            return Failure(failure)
    plan = []
    for word in steps.values:
        try:
            plan.append(object_properties.parse_percentage(word.text))
        except object_properties.InvalidValue as error:
            return Failure(errors.BadOrder(str(error), word.column, ''))
    if full_version_id(model, candidate.values[0].text) == full_version_id(
        model, baseline.values[0].text
    ):
        reason = 'candidate and baseline are the same version'
        return Failure(errors.BadOrder(reason, baseline.values[0].column, ''))
    if plan != sorted(set(plan)) or plan[0] == 0:
        reason = 'steps must grow and start above 0%'
        return Failure(errors.BadOrder(reason, steps.values[0].column, ''))
    previous = snapshot.rollouts_by_id.get(model)
    rollout = documents.Rollout(
        id=model,
        steps=previous['steps'] if previous else [],
        candidate=full_version_id(model, candidate.values[0].text),
        baseline=full_version_id(model, baseline.values[0].text),
        plan=plan,
        next_step=0,
        state='running',
        fencing=previous['fencing'] + 1 if previous else 1,
    )
    return Success({f'rollout/{model}': rollout})


def full_version_id(model: str, version: str) -> str:
    """Returns a version id as 'model@version'.

    Args:
      model: Id of the model.
      version: A version id, or the part after the '@'.
    """
    return version if '@' in version else f'{model}@{version}'


def check_version(
    snapshot: configuration.Snapshot, model: str, word: language.Word
) -> Any | None:
    """Returns a failure if a version can not take part in a roll-out."""
    version_id = full_version_id(model, word.text)
    version = snapshot.versions_by_id.get(version_id)
    if version is None:
        return plan_registry.not_found(
            snapshot, 'version', language.Word(version_id, word.column)
        )
    if version['state'] == 'withdrawn':
        return errors.BadOrder(f'{version_id} is withdrawn', word.column, '')
    return None


@plan_registry.planner('pause')
def plan_pause(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    return change_state(order, snapshot, 'running', 'paused')


@plan_registry.planner('resume')
def plan_resume(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    return change_state(order, snapshot, 'paused', 'running')


def change_state(
    order: language.Order,
    snapshot: configuration.Snapshot,
    before: str,
    after: str,
) -> Result[plan_registry.Changes, Any]:
    """Changes the state of a roll-out.

    Args:
      order: The order, which names the roll-out.
      snapshot: The configuration.
      before: State that the roll-out must have.
      after: Its new state.
    Returns: The changes, or the failure.
    """
    rollout = snapshot.rollouts_by_id.get(order.name.text)
    if rollout is None:
        return Failure(
            plan_registry.not_found(snapshot, 'rollout', order.name)
        )
    if rollout['state'] != before:
        reason = f'the roll-out is {rollout["state"]}, not {before}'
        return Failure(errors.BadOrder(reason, order.name.column, ''))
    changed = {**rollout, 'state': after, 'fencing': rollout['fencing'] + 1}
    return Success({f'rollout/{order.name.text}': changed})


@plan_registry.planner('withdraw')
def plan_withdraw(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    version = snapshot.versions_by_id.get(order.name.text)
    if version is None:
        return Failure(
            plan_registry.not_found(snapshot, 'version', order.name)
        )
    reason = ''
    if order.properties:
        reason = order.properties[0].values[0].text
    withdrawn = {**version, 'state': 'withdrawn', 'reason': reason}
    changes: plan_registry.Changes = {f'version/{order.name.text}': withdrawn}
    rollout = snapshot.rollouts_by_id.get(version['model'])
    if rollout and rollout['candidate'] == order.name.text:
        # advance() returns None for a roll-out that is withdrawn already.
        running = rollout.copy()
        running['state'] = 'running'
        stopped = rollouts.advance(
            running, 'bad', snapshot.versions_by_id, stamp
        )
        changes[f'rollout/{version["model"]}'] = stopped
    return Success(changes)


@plan_registry.planner('reinstate')
def plan_reinstate(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    version = snapshot.versions_by_id.get(order.name.text)
    if version is None:
        return Failure(
            plan_registry.not_found(snapshot, 'version', order.name)
        )
    reinstated = {**version, 'state': 'ready', 'reason': ''}
    return Success({f'version/{order.name.text}': reinstated})


@plan_registry.planner('drain')
def plan_drain(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    name = order.name.text
    reason = ''
    if order.properties:
        reason = order.properties[0].values[0].text
    drain = documents.Drain(id=name, reason=reason)
    return Success({f'drain/{name}': drain})


@plan_registry.planner('undrain')
def plan_undrain(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    if order.name.text not in snapshot.drains_by_id:
        return Failure(plan_registry.not_found(snapshot, 'drain', order.name))
    return Success({f'drain/{order.name.text}': None})
