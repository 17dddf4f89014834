"""Tests of the reservation of ports."""

import contextlib
import socket
import unittest

from ragwortgw_fakes import ports
from ragwortgw_fakes import serving


class ReserveTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        sock = self.stack.enter_context(ports.reserve(serving.LOOPBACK))
        self.name = sock.getsockname()

    def bind(self, reuse):
        sock = self.stack.enter_context(socket.socket())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuse)
        sock.bind(self.name)
        return sock

    def test_nobody_else_gets_the_port(self):
        with self.assertRaises(OSError):
            self.bind(reuse=0)

    def test_server_can_listen_there(self):
        self.bind(reuse=1).listen()
        with socket.create_connection(self.name, 1.0):
            pass

    def test_port_is_free_again_at_the_end(self):
        self.stack.close()
        self.bind(reuse=0)
