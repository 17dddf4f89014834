"""Runs a stand-in: listeners, fault switches, control and records."""

import asyncio
import json
import signal
import sys
import time
from typing import Any

import msgspec

from ragwortgw_fakes import http

LOOPBACK = '127.0.0.1'


def now_ms() -> int:
    """Returns the Unix time in ms."""
    return time.time_ns() // 1_000_000


class Fake:
    """What all stand-ins share.

    Control fields that all of them know, by POST /_control:
      down: '' (up), '503', 'closed' (connections are reset after the
        request), 'refused' (nothing listens) or 'hang' (no answer comes).
      slow_ms: Time by which each answer is put off.
      refuse_next: The next N requests are answered with 503.
      drop_next: The next N requests are reset before they have an effect.
    """

    cancel_on_disconnect = True

    def __init__(self, records_path: str = '') -> None:
        self.down = ''
        self.slow_ms = 0
        self.refuse_next = 0
        self.drop_next = 0
        self.server = http.Server(self._entry, self.cancel_on_disconnect)
        self._control_server = http.Server(self._entry, False)
        self._records_file = (
            open(records_path, 'a', encoding='utf-8') if records_path else None
        )

    async def handle(
        self, request: http.Request
    ) -> http.Response | http.StreamResponse:
        """Answers a request that is not for control; for subclasses."""
        raise NotImplementedError

    async def control(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Applies control fields that the subclass knows.

        Args:
          fields: The posted document.
        Returns: What the control call answers.
        """
        known = {'down', 'slow_ms', 'refuse_next', 'drop_next'}
        for name in known & set(fields):
            setattr(self, name, fields[name])
        if 'down' in fields:
            await self._set_down()
        return {}

    def records(self) -> dict[str, Any]:
        """Returns what checks read; for subclasses."""
        return {}

    def write_record(self, kind: str, fields: dict[str, Any]) -> None:
        """Appends one line to the records file, if there is one."""
        if self._records_file is not None:
            line = json.dumps({'kind': kind, **fields})
            self._records_file.write(line + '\n')
            self._records_file.flush()

    async def started(self) -> None:
        """Runs once the listeners are up; for subclasses."""

    async def open(self, address: str) -> None:
        """Binds the listener and, on a second port, that for control."""
        await self.server.listen(address)
        host = self.server.address.rpartition(':')[0]
        await self._control_server.listen(f'{host}:0')
        await self.started()

    async def close(self) -> None:
        """Closes both listeners and every connection."""
        await self.server.close()
        await self._control_server.close()
        if self._records_file is not None:
            self._records_file.close()
            self._records_file = None

    def ready_line(self) -> str:
        """Returns the JSON line that says where the stand-in listens."""
        return json.dumps(
            {
                'ready': True,
                'address': self.server.address,
                'control': self._control_server.address,
            }
        )

    async def _set_down(self) -> None:
        if self.down == 'refused':
            self.server.refuse()
            self.server.reset_all()
        else:
            await self.server.listen_again()
        if self.down == 'closed':
            self.server.reset_all()

    async def _entry(
        self, request: http.Request
    ) -> http.Response | http.StreamResponse:
        if request.path.startswith('/_'):
            return await self._handle_control(request)
        if self.down:
            return await self._answer_down()
        if self.drop_next > 0:
            self.drop_next -= 1
            raise http.Drop
        if self.refuse_next > 0:
            self.refuse_next -= 1
            return http.error_response(503, 'refused')
        if self.slow_ms:
            await asyncio.sleep(self.slow_ms / 1000)
        return await self.handle(request)

    async def _answer_down(self) -> http.Response:
        if self.down == 'hang':
            await asyncio.Event().wait()
        if self.down == '503':
            return http.error_response(503, 'down')
        raise http.Drop

    async def _handle_control(self, request: http.Request) -> http.Response:
        if request.path == '/_records':
            return http.json_response(200, self.records())
        fields = msgspec.json.decode(request.body) if request.body else {}
        name = request.path.removeprefix('/_control').strip('/')
        if name:
            fields = {name: fields.get(name, fields)}
        return http.json_response(200, await self.control(fields))


async def serve(fake: Fake, address: str) -> None:
    """Serves until SIGTERM or SIGINT; prints the ready line first.

    Args:
      fake: The stand-in.
      address: 'ip:port' to listen on; port 0 takes a free one.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await fake.open(address)
    sys.stdout.write(fake.ready_line() + '\n')
    sys.stdout.flush()
    await stop.wait()
    await fake.close()


def run(fake: Fake, port: int) -> None:
    """Serves on the loopback interface until told to end.

    Args:
      fake: The stand-in.
      port: TCP port; 0 takes a free one.
    """
    asyncio.run(serve(fake, f'{LOOPBACK}:{port}'))
