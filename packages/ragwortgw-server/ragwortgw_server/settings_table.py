"""Definitions of all settings of both roles."""

from typing import Literal, NamedTuple

Role = Literal['entry', 'agent']
ENVIRONMENT_PREFIX = 'RAGWORTGW_'

ENTRY: tuple[Role, ...] = ('entry',)
AGENT: tuple[Role, ...] = ('agent',)
BOTH: tuple[Role, ...] = ('entry', 'agent')


class Definition(NamedTuple):
    """One setting.

    Args:
      name: Name of the field, in snake case.
      kind: Name of the parser in settings_kinds.
      default: Text used when the setting is not given; None: required.
      unit: Unit of the value, '' where it has none.
      description: One sentence for help and documentation.
      roles: Roles that have the setting.
      choices: Allowed words of a 'choice'.
    """

    name: str
    kind: str
    default: str | None
    unit: str
    description: str
    roles: tuple[Role, ...]
    choices: tuple[str, ...] = ()

    @property
    def flag(self) -> str:
        """The flag on the command line."""
        return '--' + self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        """The environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


_D = Definition

DEFINITIONS: tuple[Definition, ...] = (
    _D('id', 'word', None, '', 'Id of the process in the host list.', BOTH),
    _D('zone', 'word', None, '', 'Availability zone of the host.', BOTH),
    _D('region', 'word', None, '', 'Region of the host.', BOTH),
    _D(
        'caller_listen',
        'address',
        '0.0.0.0:8080',
        'ip:port',
        'Where callers are served.',
        ENTRY,
    ),
    _D(
        'admin_listen',
        'address',
        '127.0.0.1:8081',
        'ip:port',
        'Where operators, metrics and health checks are served.',
        ENTRY,
    ),
    _D(
        'grpc_listen',
        'address',
        '0.0.0.0:8082',
        'ip:port',
        'Where other processes of the system connect.',
        BOTH,
    ),
    _D(
        'metrics_listen',
        'address',
        '127.0.0.1:8083',
        'ip:port',
        'Where metrics and health checks are served.',
        AGENT,
    ),
    _D(
        'platform',
        'addresses',
        None,
        'ip:port',
        'Addresses of the platform service, separated by commas.',
        ENTRY,
    ),
    _D(
        'rating',
        'optional_address',
        '',
        'ip:port',
        'Address of the rating service; empty means none.',
        ENTRY,
    ),
    _D(
        'peers',
        'addresses',
        '',
        'ip:port',
        'gRPC addresses of other entries, separated by commas.',
        ENTRY,
    ),
    _D(
        'agent_subset',
        'count',
        '0',
        'agents',
        'Agents that an entry connects to; 0 means all.',
        ENTRY,
    ),
    _D(
        'backend',
        'address',
        None,
        'ip:port',
        'Address of the backend server.',
        AGENT,
    ),
    _D(
        'backend_name',
        'word',
        None,
        '',
        'Name of the backend server in orders and reports.',
        AGENT,
    ),
    _D(
        'backend_kind',
        'choice',
        'chat',
        '',
        'What the backend server is: a model engine or a plain service.',
        AGENT,
        ('chat', 'service'),
    ),
    _D(
        'slots',
        'positive',
        '8',
        'requests',
        'Requests that the backend server runs at a time.',
        AGENT,
    ),
    _D(
        'load_interval_ms',
        'positive',
        '200',
        'ms',
        'Time between load reports of the backend server.',
        AGENT,
    ),
    _D(
        'ping_interval_ms',
        'positive',
        '1000',
        'ms',
        'Time between pings on connections of the system.',
        BOTH,
    ),
    _D(
        'silence_limit_ms',
        'positive',
        '3000',
        'ms',
        'Silence after which a connection of the system is replaced.',
        BOTH,
    ),
    _D(
        'caller_tls_cert',
        'path',
        '',
        '',
        'Certificate chain for callers (PEM); empty means no TLS.',
        ENTRY,
    ),
    _D('caller_tls_key', 'path', '', '', 'Key of that certificate.', ENTRY),
    _D(
        'admin_tls_cert',
        'path',
        '',
        '',
        'Certificate chain for operators (PEM); empty means no TLS.',
        ENTRY,
    ),
    _D('admin_tls_key', 'path', '', '', 'Key of that certificate.', ENTRY),
    _D(
        'internal_tls_cert',
        'path',
        '',
        '',
        'Certificate between processes (PEM); empty means no TLS.',
        BOTH,
    ),
    _D('internal_tls_key', 'path', '', '', 'Key of that certificate.', BOTH),
    _D(
        'internal_tls_ca',
        'path',
        '',
        '',
        'Authority that both ends of a connection must prove (PEM).',
        BOTH,
    ),
    _D(
        'timeline',
        'text',
        '',
        '',
        'File of the time line; "-" means stderr, empty means off.',
        BOTH,
    ),
    _D(
        'log_format',
        'choice',
        'text',
        '',
        'Form of log lines.',
        BOTH,
        ('text', 'json'),
    ),
    _D(
        'log_level',
        'choice',
        'info',
        '',
        'Least severe level that is logged.',
        BOTH,
        ('debug', 'info', 'warning', 'error'),
    ),
    _D(
        'body_limit_bytes',
        'positive',
        '1048576',
        'bytes',
        'Largest body of a request.',
        ENTRY,
    ),
    _D(
        'header_limit_bytes',
        'positive',
        '16384',
        'bytes',
        'Largest start line and headers of a request.',
        ENTRY,
    ),
    _D(
        'header_timeout_ms',
        'positive',
        '10000',
        'ms',
        'Time for the headers of a request to arrive.',
        ENTRY,
    ),
    _D(
        'body_timeout_ms',
        'positive',
        '30000',
        'ms',
        'Time for the body of a request to arrive.',
        ENTRY,
    ),
    _D(
        'idle_timeout_ms',
        'positive',
        '60000',
        'ms',
        'Time after which an idle or stalled connection is closed.',
        ENTRY,
    ),
    _D(
        'connection_limit',
        'positive',
        '4096',
        'connections',
        'Connections of callers at a time.',
        ENTRY,
    ),
    _D(
        'request_timeout_ms',
        'positive',
        '60000',
        'ms',
        'Time allowed for a request that names none.',
        ENTRY,
    ),
    _D(
        'stop_timeout_ms',
        'positive',
        '60000',
        'ms',
        'Time that a planned stop waits for requests in progress.',
        BOTH,
    ),
    _D(
        'bootstrap_key_hash',
        'text',
        '',
        '',
        'SHA-256 (hex) of a key that may administer; empty means none.',
        ENTRY,
    ),
    _D(
        'recording',
        'text',
        '',
        '',
        'File for events and effects, for replay; empty means off.',
        BOTH,
    ),
)

DEFINITIONS_BY_NAME = {
    definition.name: definition for definition in DEFINITIONS
}


def definitions_of(role: Role) -> tuple[Definition, ...]:
    """Returns the settings that a role has, in order."""
    return tuple(d for d in DEFINITIONS if role in d.roles)
