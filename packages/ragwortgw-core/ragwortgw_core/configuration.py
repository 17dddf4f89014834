"""Decodes configuration documents and validates them as one snapshot.

Each document is decoded against its type; then the checks below verify the
references between documents. A snapshot exists only if all checks pass.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeVar, cast

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import decoding
from ragwortgw_core import documents
from ragwortgw_core import errors

HEAD_KEY = 'config/head'
OBJECT_PREFIX = 'config/object/'
TOTAL_SHARE_BP = 10_000
#: Settings in force until operators store a system document.
DEFAULT_SYSTEM = documents.System(
    id='system', session_key='', ledger_mode='claims', ledger_shards=1024
)
EMPTY_HEAD = documents.Head(revision=0, objects={}, commands=[])

#: Document types by the kind that begins a path.
types_by_kind: dict[str, Any] = {
    'organisation': documents.Organisation,
    'key': documents.CallerKey,
    'operator': documents.Operator,
    'model': documents.Model,
    'version': documents.Version,
    'cascade': documents.Cascade,
    'rollout': documents.Rollout,
    'drain': documents.Drain,
    'system': documents.System,
}

T = TypeVar('T')


class Snapshot(NamedTuple):
    """All documents of one revision, with their references checked."""

    revision: int
    head: documents.Head
    organisations_by_id: dict[str, documents.Organisation]
    keys_by_id: dict[str, documents.CallerKey]
    operators_by_id: dict[str, documents.Operator]
    models_by_id: dict[str, documents.Model]
    versions_by_id: dict[str, documents.Version]
    cascades_by_id: dict[str, documents.Cascade]
    rollouts_by_id: dict[str, documents.Rollout]
    drains_by_id: dict[str, documents.Drain]
    system: documents.System

    def documents_by_id(self, kind: str) -> dict[str, Any]:
        """Returns the documents of a kind, by id.

        Args:
          kind: A key of types_by_kind.
        """
        if kind == 'system':
            return {self.system['id']: self.system}
        return cast(dict[str, Any], getattr(self, f'{kind}s_by_id'))


Check = Callable[[Snapshot], Iterator[errors.InvalidObject]]
_checks: list[Check] = []


def object_key(path: str, revision: int) -> str:
    """Returns the platform key of a document.

    Args:
      path: 'kind/id'.
      revision: Revision that last wrote the document.
    """
    return f'{OBJECT_PREFIX}{path}@{revision}'


def load_head(value: bytes) -> Result[documents.Head, errors.InvalidObject]:
    """Decodes the head value.

    Args:
      value: JSON as stored at config/head.
    Returns: The head, or the fault found in it.
    """
    return _decode('head', value, documents.Head)


def load_document(
    path: str, value: bytes
) -> Result[Any, errors.InvalidObject]:
    """Decodes one document and checks its kind and id.

    Args:
      path: 'kind/id'.
      value: JSON of the document.
    Returns: The document, or the fault found in it.
    """
    kind, _, identity = path.partition('/')
    if kind not in types_by_kind:
        return Failure(errors.InvalidObject(path, 'unknown kind'))
    decoded = _decode(path, value, types_by_kind[kind])
    if isinstance(decoded, Failure):
        return decoded
    if decoded.unwrap()['id'] != identity:
        return Failure(errors.InvalidObject(f'{path}.id', 'not the path id'))
    return decoded


def load(
    head: bytes,
    documents_by_path: Mapping[str, bytes],
    previous: Snapshot | None = None,
) -> Result[Snapshot, errors.InvalidObject]:
    """Decodes a head, builds its snapshot and checks all references.

    Args:
      head: JSON as stored at config/head.
      documents_by_path: JSON of each document by 'kind/id'.
      previous: An earlier snapshot; documents that have not changed
        since are reused.
    Returns: The snapshot, or the first fault found.
    """
    decoded = load_head(head)
    if isinstance(decoded, Failure):
        return decoded
    return build(decoded.unwrap(), documents_by_path, previous)


def build(
    head: documents.Head,
    documents_by_path: Mapping[str, bytes],
    previous: Snapshot | None = None,
) -> Result[Snapshot, errors.InvalidObject]:
    """Builds a snapshot like load(), from a decoded head."""
    by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in types_by_kind}
    for path, revision in head['objects'].items():
        kind, _, identity = path.partition('/')
        reused = _reusable(previous, path, kind, identity, revision)
        if reused is not None:
            by_kind[kind][identity] = reused
            continue
        if path not in documents_by_path:
            return Failure(errors.InvalidObject(path, 'missing'))
        loaded = load_document(path, documents_by_path[path])
        if isinstance(loaded, Failure):
            return loaded
        by_kind[kind][identity] = loaded.unwrap()
    snapshot = Snapshot(
        revision=head['revision'],
        head=head,
        organisations_by_id=by_kind['organisation'],
        keys_by_id=by_kind['key'],
        operators_by_id=by_kind['operator'],
        models_by_id=by_kind['model'],
        versions_by_id=by_kind['version'],
        cascades_by_id=by_kind['cascade'],
        rollouts_by_id=by_kind['rollout'],
        drains_by_id=by_kind['drain'],
        system=by_kind['system'].get('system', DEFAULT_SYSTEM),
    )
    for fault in faults(snapshot):
        return Failure(fault)
    return Success(snapshot)


def faults(snapshot: Snapshot) -> Iterator[errors.InvalidObject]:
    """Yields all broken rules and references between documents."""
    for check in _checks:
        yield from check(snapshot)


def permitted_versions(
    snapshot: Snapshot,
    organisation: documents.Organisation,
    model: str,
    target: str = '',
) -> list[documents.Version]:
    """Lists the versions of a model that may serve an organisation.

    Args:
      snapshot: The configuration in force.
      organisation: The organisation that sends the request.
      model: Id of a model or plain service.
      target: The id in the request: the model, or a cascade with the
        model among its stages; '' means the model itself.
    Returns: Versions that are permitted and ready, in order of id.
    """
    permits = frozenset(organisation['permits'])
    cascade = snapshot.cascades_by_id.get(target)
    if cascade is not None and model not in cascade['stages']:
        return []
    all_versions = model in permits or (
        cascade is not None and target in permits
    )
    return [
        version
        for identity, version in sorted(snapshot.versions_by_id.items())
        if version['model'] == model
        and version['state'] == 'ready'
        and (all_versions or identity in permits)
    ]


def _decode(
    path: str, value: bytes, kind: Any
) -> Result[Any, errors.InvalidObject]:
    try:
        return Success(decoding.from_json(value, kind))
    except decoding.Undecodable as exc:
        reason, _, where = str(exc).partition(' - at `$')
        where = where.rstrip('`')
        return Failure(errors.InvalidObject(path + where, reason))


def _reusable(
    previous: Snapshot | None,
    path: str,
    kind: str,
    identity: str,
    revision: int,
) -> Any:
    if previous is None or previous.head['objects'].get(path) != revision:
        return None
    return previous.documents_by_id(kind).get(identity)


def _check(function: Check) -> Check:
    _checks.append(function)
    return function


def _fault(path: str, reason: str) -> errors.InvalidObject:
    return errors.InvalidObject(path, reason)


@_check
def _check_organisations(
    snapshot: Snapshot,
) -> Iterator[errors.InvalidObject]:
    ids = (
        snapshot.models_by_id.keys()
        | snapshot.cascades_by_id.keys()
        | snapshot.versions_by_id.keys()
    )
    for identity, organisation in snapshot.organisations_by_id.items():
        path = f'organisation/{identity}'
        for index, permit in enumerate(organisation['permits']):
            if permit not in ids:
                yield _fault(f'{path}.permits[{index}]', f'no {permit}')
        for field in ('rate', 'burst', 'concurrency', 'weight'):
            if organisation[field] <= 0:
                yield _fault(f'{path}.{field}', 'not above 0')


@_check
def _check_keys(snapshot: Snapshot) -> Iterator[errors.InvalidObject]:
    for identity, key in snapshot.keys_by_id.items():
        if key['organisation'] not in snapshot.organisations_by_id:
            path = f'key/{identity}.organisation'
            yield _fault(path, f'no organisation {key["organisation"]}')


@_check
def _check_models(snapshot: Snapshot) -> Iterator[errors.InvalidObject]:
    for identity, model in snapshot.models_by_id.items():
        path = f'model/{identity}'
        if identity in snapshot.cascades_by_id:
            yield _fault(path, 'a cascade has the same id')
        if '@' in identity or '/' in identity or not identity:
            yield _fault(f'{path}.id', 'empty or holds @ or /')
        for field in ('input_micros', 'output_micros', 'call_micros'):
            if model[field] < 0:
                yield _fault(f'{path}.{field}', 'below 0')
        if not 0 <= model['prior_quality'] <= 1:
            yield _fault(f'{path}.prior_quality', 'not in 0..1')


@_check
def _check_versions(snapshot: Snapshot) -> Iterator[errors.InvalidObject]:
    for identity, version in snapshot.versions_by_id.items():
        path = f'version/{identity}'
        if version['model'] not in snapshot.models_by_id:
            yield _fault(f'{path}.model', f'no model {version["model"]}')
        if identity.partition('@')[0] != version['model']:
            yield _fault(f'{path}.id', 'not of the form model@version')


@_check
def _check_cascades(snapshot: Snapshot) -> Iterator[errors.InvalidObject]:
    for identity, cascade in snapshot.cascades_by_id.items():
        path = f'cascade/{identity}'
        if not cascade['stages']:
            yield _fault(f'{path}.stages', 'empty')
        if len(set(cascade['stages'])) != len(cascade['stages']):
            yield _fault(f'{path}.stages', 'a model stands twice')
        for index, stage in enumerate(cascade['stages']):
            if stage not in snapshot.models_by_id:
                yield _fault(f'{path}.stages[{index}]', f'no model {stage}')
        if not 0 <= cascade['target'] <= 1:
            yield _fault(f'{path}.target', 'not in 0..1')


@_check
def _check_rollouts(snapshot: Snapshot) -> Iterator[errors.InvalidObject]:
    for identity, rollout in snapshot.rollouts_by_id.items():
        path = f'rollout/{identity}'
        if identity not in snapshot.models_by_id:
            yield _fault(f'{path}.id', f'no model {identity}')
        for field in ('candidate', 'baseline'):
            name = rollout[field]
            if name and not _is_version(snapshot, name, identity):
                yield _fault(f'{path}.{field}', f'no version {name}')
        if any(not 0 <= bp <= TOTAL_SHARE_BP for bp in rollout['plan']):
            yield _fault(f'{path}.plan', 'a share not in 0..10000')
        if not 0 <= rollout['next_step'] <= len(rollout['plan']):
            yield _fault(f'{path}.next_step', 'beyond the plan')
        for index, step in enumerate(rollout['steps']):
            step_path = f'{path}.steps[{index}]'
            yield from _step_faults(snapshot, identity, step_path, step)
        times = [step['effective_at_ms'] for step in rollout['steps']]
        if times != sorted(times):
            yield _fault(f'{path}.steps', 'not in order of time')


def _step_faults(
    snapshot: Snapshot, model: str, path: str, step: documents.Step
) -> Iterator[errors.InvalidObject]:
    if sum(step['shares'].values()) != TOTAL_SHARE_BP:
        yield _fault(f'{path}.shares', 'do not sum to 10000')
    for name, share in step['shares'].items():
        if not _is_version(snapshot, name, model):
            yield _fault(f'{path}.shares', f'no version {name}')
        if share < 0:
            yield _fault(f'{path}.shares', f'{name} below 0')


@_check
def _check_system(snapshot: Snapshot) -> Iterator[errors.InvalidObject]:
    if not 1 <= snapshot.system['ledger_shards'] <= 4096:
        yield _fault('system/system.ledger_shards', 'not in 1..4096')


def _is_version(snapshot: Snapshot, name: str, model: str) -> bool:
    version = snapshot.versions_by_id.get(name)
    return version is not None and version['model'] == model
