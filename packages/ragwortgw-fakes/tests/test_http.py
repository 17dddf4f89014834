"""Tests of the HTTP server of the stand-ins."""

import socket
import unittest

from ragwortgw_fakes import http


async def answer(request, response):
    """Answers nothing; the tests send no request."""


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = http.Server(answer)
        await self.server.listen('127.0.0.1:0')
        self.addAsyncCleanup(self.server.close)
        host, _, port = self.server.address.rpartition(':')
        self.name = (host, int(port))

    def bind(self):
        """Binds the server's port as another process would."""
        with socket.socket() as sock:
            sock.bind(self.name)

    def connect(self):
        socket.create_connection(self.name, 1.0).close()

    async def test_port_stays_its_own_while_it_refuses(self):
        self.server.refuse()
        with self.assertRaises(ConnectionRefusedError):
            self.connect()
        with self.assertRaises(OSError):
            self.bind()
        await self.server.listen_again()
        self.connect()

    async def test_port_is_free_after_the_end(self):
        await self.server.close()
        self.bind()
