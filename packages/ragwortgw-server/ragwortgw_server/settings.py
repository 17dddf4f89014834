"""Settings of both roles: read, checked at start, documented."""

from collections.abc import Mapping
import sys
from typing import Any, NamedTuple, TypeVar

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_server import settings_kinds
from ragwortgw_server import settings_table


class EntrySettings(NamedTuple):
    """Settings of an entry; see settings_table for each."""

    id: str
    zone: str
    region: str
    caller_listen: str
    admin_listen: str
    grpc_listen: str
    platform: tuple[str, ...]
    rating: str
    peers: tuple[str, ...]
    agent_subset: int
    ping_interval_ms: int
    silence_limit_ms: int
    caller_tls_cert: str
    caller_tls_key: str
    admin_tls_cert: str
    admin_tls_key: str
    internal_tls_cert: str
    internal_tls_key: str
    internal_tls_ca: str
    timeline: str
    log_format: str
    log_level: str
    body_limit_bytes: int
    header_limit_bytes: int
    header_timeout_ms: int
    body_timeout_ms: int
    idle_timeout_ms: int
    connection_limit: int
    request_timeout_ms: int
    stop_timeout_ms: int
    bootstrap_key_hash: str
    recording: str


class AgentSettings(NamedTuple):
    """Settings of an agent; see settings_table for each."""

    id: str
    zone: str
    region: str
    grpc_listen: str
    metrics_listen: str
    backend: str
    backend_name: str
    backend_kind: str
    slots: int
    load_interval_ms: int
    ping_interval_ms: int
    silence_limit_ms: int
    internal_tls_cert: str
    internal_tls_key: str
    internal_tls_ca: str
    timeline: str
    log_format: str
    log_level: str
    stop_timeout_ms: int
    recording: str


Faults = list[settings_kinds.Fault]
Settings = TypeVar('Settings', EntrySettings, AgentSettings)

#: Settings of TLS that must be given together.
TLS_GROUPS = (
    ('caller_tls_cert', 'caller_tls_key'),
    ('admin_tls_cert', 'admin_tls_key'),
    ('internal_tls_cert', 'internal_tls_key', 'internal_tls_ca'),
)


def load_entry(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> Result[EntrySettings, Faults]:
    """Reads and checks the settings of an entry.

    Args:
      flags: Texts given on the command line by setting name.
      environment: Environment variables.
    Returns: The settings, or all faults found.
    """
    return _load(EntrySettings, 'entry', flags, environment)


def load_agent(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> Result[AgentSettings, Faults]:
    """Reads and checks the settings of an agent.

    Args: As for load_entry().
    Returns: The settings, or all faults found.
    """
    return _load(AgentSettings, 'agent', flags, environment)


def _load(
    settings_type: type[Settings],
    role: settings_table.Role,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Result[Settings, Faults]:
    values_by_name: dict[str, Any] = {}
    faults: Faults = []
    for definition in settings_table.definitions_of(role):
        text = flags.get(definition.name)
        if text is None:
            text = environment.get(definition.variable, definition.default)
        if text is None:
            faults.append(settings_kinds.MissingSetting(definition.name))
            continue
        parser = settings_kinds.parsers_by_kind[definition.kind]
        parsed = parser(definition, text)
        if isinstance(parsed, Success):
            values_by_name[definition.name] = parsed.unwrap()
        else:
            faults.append(parsed.failure())
    faults.extend(_tls_faults(values_by_name))
    if faults:
        return Failure(faults)
    return Success(settings_type(**values_by_name))


def _tls_faults(values_by_name: Mapping[str, Any]) -> Faults:
    faults: Faults = []
    for group in TLS_GROUPS:
        known = [name for name in group if name in values_by_name]
        given = [name for name in known if values_by_name[name]]
        for name in known:
            if given and name not in given:
                faults.append(settings_kinds.IncompleteTls(given[0], name))
    return faults


def describe_fault(fault: settings_kinds.Fault) -> str:
    """Renders a fault for the person who starts the process.

    Args:
      fault: The fault.
    Returns: One line with the setting, its flag and its variable.
    """
    definition = settings_table.DEFINITIONS_BY_NAME[fault.setting]
    fields = ', '.join(
        f'{name}: {value}'
        for name, value in fault._asdict().items()
        if name != 'setting'
    )
    place = f'{definition.flag}, {definition.variable}'
    detail = f': {fields}' if fields else ''
    return f'{fault.setting} ({place}): {type(fault).__name__}{detail}'


def disabled_features(
    settings: EntrySettings | AgentSettings,
) -> tuple[str, ...]:
    """Lists protections and outputs that are off.

    Args:
      settings: The settings in force.
    Returns: Names for the log line at start.
    """
    names = {
        'caller_tls_cert': 'TLS for callers',
        'admin_tls_cert': 'TLS for operators',
        'internal_tls_cert': 'TLS between processes',
        'rating': 'rating service',
        'timeline': 'time line',
    }
    values_by_name = settings._asdict()
    return tuple(
        text
        for name, text in names.items()
        if name in values_by_name and not values_by_name[name]
    )


def render_page() -> str:
    """Renders docs/SETTINGS.md."""
    lines = [
        '# Settings',
        '',
        'Made by `python -m ragwortgw_server.settings`; do not edit.',
        '',
        'A flag goes before its environment variable, that before the',
        'default. All settings are checked at start; every fault is listed',
        'and the process ends with status 2. Secrets (TLS keys) are given',
        'as files only.',
        '',
        'A gateway on the platform has its settings from the file that the',
        'platform writes: [SETTINGS-platform.md](SETTINGS-platform.md).',
    ]
    for role in ('entry', 'agent'):
        lines += ['', f'## ragwortgwd {role}', '']
        lines += ['| Flag | Variable | Default | Unit | Meaning |']
        lines += ['|---|---|---|---|---|']
        for definition in settings_table.definitions_of(role):
            lines.append(_render_row(definition))
    return '\n'.join(lines) + '\n'


def _render_row(definition: settings_table.Definition) -> str:
    default = definition.default
    shown = 'required' if default is None else f'`{default}`'
    if default == '':
        shown = 'empty'
    meaning = definition.description
    if definition.choices:
        meaning += ' One of: ' + ', '.join(definition.choices) + '.'
    return (
        f'| `{definition.flag}` | `{definition.variable}` | {shown}'
        f' | {definition.unit} | {meaning} |'
    )


if __name__ == '__main__':
    sys.stdout.write(render_page())
