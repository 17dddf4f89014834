"""Starts our own processes, signals them and always ends them."""

from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any
import urllib.request

READY_DEADLINE_S = 20.0
STOP_DEADLINE_S = 20.0
POLL_INTERVAL_S = 0.01
CALL_TIMEOUT_S = 10.0


class NotReady(Exception):
    """A process ended or stayed silent before it was ready."""


class Process:
    """One child: its address, signals and output files."""

    def __init__(
        self, name: str, popen: subprocess.Popen, directory: pathlib.Path
    ) -> None:
        self.name = name
        self.popen = popen
        self.stdout_path = directory / f'{name}.stdout'
        self.stderr_path = directory / f'{name}.stderr'
        self.ready: dict[str, Any] = {}
        self.paused = False

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    @property
    def address(self) -> str:
        """'ip:port' as the ready line gave it."""
        return self.ready['address']

    def stdout(self) -> str:
        """Returns what the process wrote to its standard output."""
        return self.stdout_path.read_text('utf-8', 'replace')

    def stderr(self) -> str:
        """Returns what the process wrote to its standard error."""
        return self.stderr_path.read_text('utf-8', 'replace')

    def control(self, **fields: Any) -> dict[str, Any]:
        """Posts fault switches to a stand-in; returns its answer."""
        return self._call('/_control', json.dumps(fields).encode())

    def records(self) -> dict[str, Any]:
        """Reads the records of a stand-in."""
        return self._call('/_records', None)

    def kill(self) -> None:
        """Ends the process by SIGKILL and reaps it."""
        self._send(signal.SIGKILL)
        self.popen.wait(STOP_DEADLINE_S)

    def pause(self) -> None:
        """Halts the process by SIGSTOP."""
        self.paused = True
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues a halted process by SIGCONT."""
        self.paused = False
        self._send(signal.SIGCONT)

    def send_term(self) -> None:
        """Sends SIGTERM without waiting."""
        self._send(signal.SIGTERM)

    def terminate(self, deadline_s: float = STOP_DEADLINE_S) -> int:
        """Sends SIGTERM and waits for the end.

        Args:
          deadline_s: Longest wait, in s.
        Returns: The exit status.
        Raises:
          subprocess.TimeoutExpired: The process went on.
        """
        self._send(signal.SIGTERM)
        return self.popen.wait(deadline_s)

    def wait(self, deadline_s: float = STOP_DEADLINE_S) -> int:
        """Waits for the process to end; returns its exit status."""
        return self.popen.wait(deadline_s)

    def running(self) -> bool:
        """Returns whether the process has not ended."""
        return self.popen.poll() is None

    def wait_ready(self, deadline_s: float = READY_DEADLINE_S) -> None:
        """Waits for the JSON line that says that the process listens.

        Args:
          deadline_s: Longest wait, in s.
        Raises:
          NotReady: The process ended or the time passed.
        """
        end_s = time.monotonic() + deadline_s
        while time.monotonic() < end_s:
            ready = self._read_ready()
            if ready is not None:
                self.ready = ready
                return
            if not self.running():
                break
            time.sleep(POLL_INTERVAL_S)
        raise NotReady(f'{self.name}: {self.stderr()[-2000:]}')

    def _read_ready(self) -> dict[str, Any] | None:
        for line in self.stdout().split('\n')[:-1]:
            with contextlib.suppress(ValueError):
                document = json.loads(line)
                if isinstance(document, dict) and document.get('ready'):
                    return document
        return None

    def _send(self, number: int) -> None:
        if self.running():
            self.popen.send_signal(number)

    def _call(self, path: str, body: bytes | None) -> dict[str, Any]:
        address = self.ready.get('control', self.ready['address'])
        request = urllib.request.Request(f'http://{address}{path}', body)
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
            return json.load(answer)


class Group:
    """Starts processes and ends exactly those; a context manager.

    Args:
      directory: Where output files go; a temporary directory if None.

    Attributes:
      shielded: Whether signals of the terminal, such as Ctrl-C, do not
        reach the processes started from now on.
    """

    def __init__(self, directory: pathlib.Path | None = None) -> None:
        self.shielded = False
        self._stack = contextlib.ExitStack()
        self.directory = directory
        self.processes: list[Process] = []

    def __enter__(self) -> 'Group':
        if self.directory is None:
            temporary = tempfile.TemporaryDirectory(prefix='ragwortgw-')
            self.directory = pathlib.Path(self._stack.enter_context(temporary))
        self.directory.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()

    def start(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        environment: Mapping[str, str] | None = None,
        wait: bool = True,
        output: int | None = None,
    ) -> Process:
        """Starts 'python -m module arguments'.

        Args:
          name: Names the output files; unique within the group.
          module: Python module.
          arguments: Command line.
          environment: Variables on top of our own.
          wait: Whether to wait for the ready line.
          output: Descriptor for its standard output; None: a file.
        Returns: The process.
        Raises:
          NotReady: It ended or stayed silent.
        """
        assert self.directory is not None
        command = [sys.executable, '-m', module, *arguments]
        with (
            open(self.directory / f'{name}.stdout', 'ab') as stdout,
            open(self.directory / f'{name}.stderr', 'ab') as stderr,
        ):
            popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=stdout if output is None else output,
                stderr=stderr,
                env={**os.environ, **(environment or {})},
                process_group=0 if self.shielded else None,
            )
        process = Process(name, popen, self.directory)
        self.processes.append(process)
        if wait:
            process.wait_ready()
        return process

    def start_fake(
        self, fake: str, *arguments: str, name: str = ''
    ) -> Process:
        """Starts a stand-in on a free port and waits until it listens.

        Args:
          fake: Name of the stand-in ('engine').
          arguments: Flags.
          name: Names the output files; the stand-in's name if ''.
        Returns: The process.
        """
        return self.start(
            name or fake,
            'ragwortgw_fakes',
            (fake, '--port', '0', *arguments)
            if '--port' not in arguments
            else (fake, *arguments),
        )

    def close(self) -> None:
        """Kills and reaps what still runs, then removes the directory."""
        for process in reversed(self.processes):
            if process.running():
                process.resume()
                process.kill()
        self.processes.clear()
        self._stack.close()


def open_group(directory: pathlib.Path | None = None) -> Group:
    """Makes a group of processes.

    Args:
      directory: Where output files go; a temporary directory if None.
    Returns: The group, to be entered.
    """
    return Group(directory)
