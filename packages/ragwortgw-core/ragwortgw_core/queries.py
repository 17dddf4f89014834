"""Queries that an entry answers from its own state.

Each subject has a reader, which returns the complete table; clauses such
as conditions are applied afterwards. Queries on stored values, such as
cost, are in reports.
"""

from collections.abc import Callable

from ragwortgw_core import configuration
from ragwortgw_core import entry_state
from ragwortgw_core import events
from ragwortgw_core import object_properties
from ragwortgw_core import statements
from ragwortgw_core import tables

Reader = Callable[[entry_state.State, events.Stamp], tables.Table]

#: Shown as confirmed_age_ms if the configuration was never confirmed.
NEVER_CONFIRMED_MS = -1

readers_by_subject: dict[str, Reader] = {}


def reader_of(subject: str) -> Callable[[Reader], Reader]:
    """Registers the decorated function as the reader of a subject."""

    def register(reader: Reader) -> Reader:
        readers_by_subject[subject] = reader
        return reader

    return register


def current_snapshot(state: entry_state.State) -> configuration.Snapshot:
    """Returns the current configuration, or an empty one if there is none."""
    if state.store.snapshot is not None:
        return state.store.snapshot
    return configuration.build(configuration.EMPTY_HEAD, {}).unwrap()


@reader_of('organisations')
def read_organisations(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    return tables.new_table(
        ('organisation', 'permits', 'rate', 'burst', 'concurrency', 'weight'),
        [
            (
                organisation['id'],
                ' '.join(organisation['permits']),
                organisation['rate'],
                organisation['burst'],
                organisation['concurrency'],
                organisation['weight'],
            )
            for organisation in current_snapshot(
                state
            ).organisations_by_id.values()
        ],
    )


@reader_of('keys')
def read_keys(state: entry_state.State, stamp: events.Stamp) -> tables.Table:
    return tables.new_table(
        ('key', 'organisation', 'label'),
        [
            (key['id'], key['organisation'], key['label'])
            for key in current_snapshot(state).keys_by_id.values()
        ],
    )


@reader_of('operators')
def read_operators(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    return tables.new_table(
        ('operator', 'role'),
        [
            (operator['id'], operator['role'])
            for operator in current_snapshot(state).operators_by_id.values()
        ],
    )


@reader_of('models')
def read_models(state: entry_state.State, stamp: events.Stamp) -> tables.Table:
    return tables.new_table(
        ('model', 'kind', 'input', 'output', 'call', 'quality', 'priority'),
        [
            (
                model['id'],
                model['kind'],
                model['input_micros'],
                model['output_micros'],
                model['call_micros'],
                model['prior_quality'],
                model['priority'],
            )
            for model in current_snapshot(state).models_by_id.values()
        ],
    )


@reader_of('versions')
def read_versions(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    sessions_by_version = state.sessions.count_by_version(stamp.now_ms)
    return tables.new_table(
        ('version', 'model', 'state', 'reason', 'backends', 'sessions'),
        [
            (
                version['id'],
                version['model'],
                version['state'],
                version['reason'],
                count_backends(state, version['id']),
                sessions_by_version.get(version['id'], 0),
            )
            for version in current_snapshot(state).versions_by_id.values()
        ],
    )


def count_backends(state: entry_state.State, version: str) -> int:
    """Counts the backend servers that have loaded a version."""
    return sum(
        version in agent.versions for agent in state.agents_by_id.values()
    )


@reader_of('cascades')
def read_cascades(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    return tables.new_table(
        ('cascade', 'stages', 'target', 'priority'),
        [
            (
                cascade['id'],
                ' '.join(cascade['stages']),
                cascade['target'],
                cascade['priority'],
            )
            for cascade in current_snapshot(state).cascades_by_id.values()
        ],
    )


@reader_of('rollouts')
def read_rollouts(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    rows = []
    for rollout in current_snapshot(state).rollouts_by_id.values():
        shares = rollout['steps'][-1]['shares'] if rollout['steps'] else {}
        rows.append(
            (
                rollout['id'],
                rollout['candidate'],
                rollout['baseline'],
                rollout['state'],
                shares.get(rollout['candidate'], 0) / 100,
                f'{rollout["next_step"]}/{len(rollout["plan"])}',
                sum(
                    sums.candidate_requests
                    for sums in state.evidence.pooled_sums(rollout).values()
                ),
            )
        )
    columns = (
        'rollout',
        'candidate',
        'baseline',
        'state',
        'percent',
        'step',
        'candidate_requests',
    )
    return tables.new_table(columns, rows)


@reader_of('drains')
def read_drains(state: entry_state.State, stamp: events.Stamp) -> tables.Table:
    return tables.new_table(
        ('backend', 'reason'),
        [
            (drain['id'], drain['reason'])
            for drain in current_snapshot(state).drains_by_id.values()
        ],
    )


@reader_of('backends')
def read_backends(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    columns = (
        'backend',
        'agent',
        'zone',
        'versions',
        'slots',
        'running',
        'waiting',
        'inflight',
        'healthy',
        'draining',
        'revision',
    )
    return tables.new_table(
        columns,
        [
            (
                agent.backend,
                agent.agent_id,
                agent.zone,
                ' '.join(agent.versions),
                agent.slots,
                agent.load.running,
                agent.load.waiting,
                len(agent.attempt_ids),
                agent.healthy,
                agent.draining,
                agent.revision,
            )
            for agent in state.agents_by_id.values()
        ],
    )


@reader_of('entries')
def read_entries(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    return tables.new_table(
        ('entry', 'zone', 'region', 'state', 'address'),
        [
            (host.id, host.zone, host.region, host.state, host.address)
            for host in state.hosts.hosts
            if host.role == 'entry'
        ],
    )


@reader_of('hosts')
def read_hosts(state: entry_state.State, stamp: events.Stamp) -> tables.Table:
    return tables.new_table(
        ('host', 'role', 'zone', 'region', 'state', 'address'),
        [
            (
                host.id,
                host.role,
                host.zone,
                host.region,
                host.state,
                host.address,
            )
            for host in state.hosts.hosts
        ],
    )


@reader_of('queue')
def read_queue(state: entry_state.State, stamp: events.Stamp) -> tables.Table:
    ages_by_key: dict[tuple[str, str, str], list[int]] = {}
    for active in state.requests_by_id.values():
        if active.phase != 'queued':
            continue
        key = (
            active.organisation['id'],
            active.priority,
            active.current_model,
        )
        age_ms = stamp.now_ms - active.received_at_ms
        ages_by_key.setdefault(key, []).append(age_ms)
    return tables.new_table(
        ('organisation', 'priority', 'model', 'requests', 'oldest_ms'),
        [
            (*key, len(ages), max(ages))
            for key, ages in sorted(ages_by_key.items())
        ],
    )


@reader_of('requests')
def read_requests(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    columns = (
        'request',
        'organisation',
        'target',
        'model',
        'version',
        'backend',
        'phase',
        'priority',
        'age_ms',
    )
    return tables.new_table(
        columns,
        [
            (
                active.request.id,
                active.organisation['id'],
                active.request.target,
                active.current_model,
                active.version,
                active.backend,
                active.phase,
                active.priority,
                stamp.now_ms - active.received_at_ms,
            )
            for active in state.requests_by_id.values()
        ],
    )


@reader_of('configuration')
def read_configuration(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    snapshot = current_snapshot(state)
    confirmed = state.store.confirmed_at_ms > 0
    return tables.new_table(
        ('entry', 'revision', 'confirmed_age_ms', 'objects', 'agents_behind'),
        [
            (
                state.entry_id,
                snapshot.revision,
                state.store.age_ms(stamp) if confirmed else NEVER_CONFIRMED_MS,
                len(snapshot.head['objects']),
                sum(
                    agent.revision < snapshot.revision
                    for agent in state.agents_by_id.values()
                ),
            )
        ],
    )


@reader_of('subjects')
def read_subjects(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    columns_by_subject = dict(state.reports.columns_by_subject)
    for subject, reader in readers_by_subject.items():
        if reader is not read_subjects:
            columns_by_subject[subject] = reader(state, stamp).columns
    return tables.new_table(
        ('subject', 'columns'),
        [
            (subject, ' '.join(columns))
            for subject, columns in columns_by_subject.items()
        ],
    )


@reader_of('statements')
def read_statements(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    return tables.new_table(
        ('statement', 'role', 'example'), statements.STATEMENTS
    )


@reader_of('properties')
def read_properties(
    state: entry_state.State, stamp: events.Stamp
) -> tables.Table:
    types_by_kind = object_properties.PROPERTIES_BY_KIND
    return tables.new_table(
        ('kind', 'property', 'default'),
        [
            (
                kind,
                name,
                ''
                if property_type.default == []
                else str(property_type.default),
            )
            for kind, types_by_name in types_by_kind.items()
            for name, property_type in types_by_name.items()
        ],
    )
