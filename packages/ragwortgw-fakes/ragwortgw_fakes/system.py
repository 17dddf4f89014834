"""Brings up a whole system of real processes for tests and the demo."""

from collections.abc import Mapping
import hashlib
import itertools
import os
import pathlib
import time
from typing import Any, NamedTuple

import msgspec
import uuid_utils

from ragwortgw_fakes import calls
from ragwortgw_fakes import processes

OPERATOR_KEY = 'operator-key'
CALLER_KEY = 'caller-key'
POLL_INTERVAL_S = 0.02
WAIT_S = 15.0


class ConditionNotMet(Exception):
    """A condition did not come true before its deadline."""


class Backend(NamedTuple):
    """A backend server stand-in with the agent beside it."""

    name: str
    server: processes.Process
    agent: processes.Process


def hash_of(key: str) -> str:
    """Returns the SHA-256 of a key in hex, as the configuration holds it."""
    return hashlib.sha256(key.encode()).hexdigest()


def inherited_environment() -> dict[str, str]:
    """Returns this process's environment without settings of ours."""
    return {
        name: value
        for name, value in os.environ.items()
        if not name.startswith('RAGWORTGW_')
    }


def wait_for(condition: Any, what: str, deadline_s: float = WAIT_S) -> Any:
    """Waits until a condition is true.

    Args:
      condition: Called without arguments; its true result is returned.
      what: Names the condition when it is not met.
      deadline_s: Longest wait, in s.
    Returns: The true result.
    Raises:
      ConditionNotMet: The time passed.
    """
    end_s = time.monotonic() + deadline_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() >= end_s:
            raise ConditionNotMet(what)
        time.sleep(POLL_INTERVAL_S)


class System:
    """Platform, raters, backend servers, agents and entries on loopback.

    Args:
      directory: Where output files go; a temporary directory if None.
    """

    def __init__(self, directory: pathlib.Path | None = None) -> None:
        self.group = processes.open_group(directory)
        self.entries_by_id: dict[str, processes.Process] = {}
        self.backends_by_name: dict[str, Backend] = {}
        self.hosts_by_id: dict[str, dict[str, str]] = {}
        self.platform: processes.Process
        self.rater: processes.Process
        self._numbers = itertools.count(1)

    def __enter__(self) -> 'System':
        self.group.__enter__()
        self.platform = self.group.start_fake('platform')
        self.rater = self.group.start_fake('rater')
        return self

    def __exit__(self, *exc: object) -> None:
        self.group.close()

    @property
    def directory(self) -> pathlib.Path:
        """Directory of the output files and time lines."""
        assert self.group.directory is not None
        return self.group.directory

    def start_backend(
        self,
        name: str,
        versions: str,
        kind: str = 'chat',
        zone: str = 'zone-a',
        slots: int = 8,
        flags: tuple[str, ...] = (),
        agent_flags: Mapping[str, str] | None = None,
    ) -> Backend:
        """Starts a backend server stand-in and its agent, and lists it.

        Args:
          name: Name of the backend server; the agent is 'agent-<name>'.
          versions: Version ids, separated by commas.
          kind: 'chat' or 'service'.
          zone: Availability zone.
          slots: Requests that run at once.
          flags: Further flags of the stand-in.
          agent_flags: Further settings of the agent.
        Returns: Both processes.
        """
        fake = 'engine' if kind == 'chat' else 'service'
        server = self.group.start_fake(
            fake,
            '--versions',
            versions,
            '--slots',
            str(slots),
            *flags,
            name=name,
        )
        agent = self.start_agent(
            f'agent-{name}',
            name,
            server.address,
            kind,
            zone,
            slots,
            agent_flags or {},
        )
        backend = Backend(name, server, agent)
        self.backends_by_name[name] = backend
        return backend

    def start_agent(
        self,
        agent_id: str,
        name: str,
        address: str,
        kind: str,
        zone: str,
        slots: int,
        settings: Mapping[str, str],
    ) -> processes.Process:
        """Starts an agent beside a backend server and lists it."""
        agent = self._start_daemon(
            'agent',
            agent_id,
            {
                'zone': zone,
                'backend': address,
                'backend_name': name,
                'backend_kind': kind,
                'slots': str(slots),
                'metrics_listen': '127.0.0.1:0',
                **settings,
            },
        )
        self.list_host(agent_id, 'agent', agent.ready['grpc_address'], zone)
        return agent

    def start_entry(
        self,
        entry_id: str,
        zone: str = 'zone-a',
        settings: Mapping[str, str] | None = None,
    ) -> processes.Process:
        """Starts an entry and lists it.

        Args:
          entry_id: Id in the host list.
          zone: Availability zone.
          settings: Further settings by name.
        Returns: The process.
        """
        peers = ','.join(
            entry.ready['grpc_address']
            for entry in self.entries_by_id.values()
            if entry.running()
        )
        entry = self._start_daemon(
            'entry',
            entry_id,
            {
                'zone': zone,
                'caller_listen': '127.0.0.1:0',
                'admin_listen': '127.0.0.1:0',
                'platform': self.platform.address,
                'rating': self.rater.address,
                'peers': peers,
                'bootstrap_key_hash': hash_of(OPERATOR_KEY),
                **(settings or {}),
            },
        )
        self.entries_by_id[entry_id] = entry
        self.list_host(entry_id, 'entry', entry.ready['grpc_address'], zone)
        return entry

    def _start_daemon(
        self, role: str, identity: str, settings: Mapping[str, str]
    ) -> processes.Process:
        name = f'{identity}.{next(self._numbers)}'
        whole = {
            'id': identity,
            'region': 'region-1',
            'grpc_listen': '127.0.0.1:0',
            'timeline': str(self.directory / f'{name}.timeline'),
            **settings,
        }
        environment = {
            f'RAGWORTGW_{key.upper()}': value for key, value in whole.items()
        }
        return self.group.start(
            name, 'ragwortgw_server.main', (role,), environment
        )

    def list_host(
        self, host_id: str, role: str, address: str, zone: str
    ) -> None:
        """Puts a host on the platform's list."""
        self.hosts_by_id[host_id] = {
            'id': host_id,
            'role': role,
            'address': address,
            'zone': zone,
            'region': 'region-1',
            'state': 'live',
        }
        self.publish_hosts()

    def publish_hosts(self) -> None:
        """Gives the platform stand-in the present host list."""
        self.platform.control(hosts=list(self.hosts_by_id.values()))

    def command(self, text: str, **fields: Any) -> dict[str, Any]:
        """Runs an operator's statement on the first entry that answers.

        Args:
          text: The statement.
          fields: command_id, if_revision or dry_run.
        Returns: The answer's body.
        Raises:
          calls.Refused: The entry refused it.
        """
        entry = next(
            entry
            for entry in self.entries_by_id.values()
            if entry.running() and not entry.paused
        )
        return command(entry, text, **fields)

    def commands(self, statements: str) -> None:
        """Runs statements, one a line; blank lines are skipped."""
        for line in statements.splitlines():
            if line.strip():
                self.command(line.strip())

    def rows(self, query: str) -> list[dict[str, Any]]:
        """Runs a query; returns its rows by column name."""
        body = self.command(query)
        return [
            dict(zip(body['columns'], row, strict=True))
            for row in body['rows']
        ]

    def wait_in_force(self) -> int:
        """Waits until all entries and agents hold the newest revision.

        Returns: The revision.
        """

        def settled() -> int:
            revisions = set()
            for entry in self.entries_by_id.values():
                if not entry.running():
                    continue
                body = command(entry, 'show configuration')
                row = dict(zip(body['columns'], body['rows'][0], strict=True))
                if row['agents_behind']:
                    return 0
                revisions.add(row['revision'])
            return revisions.pop() if len(revisions) == 1 else 0

        return wait_for(settled, 'one revision in force everywhere')

    def wait_connected(self, agents: int) -> None:
        """Waits until every running entry sees that many healthy agents."""

        def connected() -> bool:
            for entry in self.entries_by_id.values():
                if not entry.running():
                    continue
                body = command(entry, 'show backends where healthy = true')
                if len(body['rows']) != agents:
                    return False
            return True

        wait_for(connected, f'{agents} agents connected')


def command(
    entry: processes.Process, text: str, **fields: Any
) -> dict[str, Any]:
    """Runs an operator's statement on one entry.

    Args:
      entry: The entry.
      text: The statement.
      fields: command_id, if_revision or dry_run.
    Returns: The answer's body.
    Raises:
      calls.Refused: The entry refused it.
    """
    answer = calls.call(
        entry.ready['admin_address'],
        'POST',
        '/v1/commands',
        {'Authorization': f'Bearer {OPERATOR_KEY}'},
        msgspec.json.encode(
            {'text': text, 'command_id': str(uuid_utils.uuid7()), **fields}
        ),
    )
    if answer.status >= 400:
        raise calls.Refused(answer)
    return msgspec.json.decode(answer.body)


def chat(
    entry: processes.Process,
    model: str,
    prompt: str,
    key: str = CALLER_KEY,
    headers: Mapping[str, str] | None = None,
) -> calls.Answer:
    """Sends a chat completion and waits for the whole answer."""
    body = {'model': model, 'messages': [{'role': 'user', 'content': prompt}]}
    return calls.call(
        entry.ready['caller_address'],
        'POST',
        '/v1/chat/completions',
        {'Authorization': f'Bearer {key}', **(headers or {})},
        msgspec.json.encode(body),
    )


def service(
    entry: processes.Process,
    method: str,
    path: str,
    body: bytes = b'',
    key: str = CALLER_KEY,
    headers: Mapping[str, str] | None = None,
) -> calls.Answer:
    """Calls a plain service; path is '/<service>/<path>'."""
    return calls.call(
        entry.ready['caller_address'],
        method,
        f'/services{path}',
        {'Authorization': f'Bearer {key}', **(headers or {})},
        body,
    )
