import asyncio
import unittest

from ragwortgw_fakes import cable
from tests import calls

#: Time without an echo after which a link counts as silent.
SILENCE_S = 0.2


class Echo(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(data)


class CableTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = await asyncio.get_running_loop().create_server(
            Echo, '127.0.0.1', 0
        )
        self.addCleanup(self.server.close)
        name = self.server.sockets[0].getsockname()
        self.cable = cable.Cable(f'{name[0]}:{name[1]}')
        await self.cable.__aenter__()
        self.addAsyncCleanup(self.cable.close)

    async def connect(self):
        host, _, port = self.cable.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        await calls.until(lambda: self.cable.links)
        return reader, writer

    async def answers(self, ends):
        """Sends a byte and waits for the echo, however long it takes."""
        reader, writer = ends
        writer.write(b'x')
        return await reader.read(1) == b'x'

    async def silent(self, ends):
        """Returns whether no echo of a byte comes within SILENCE_S."""
        try:
            async with asyncio.timeout(SILENCE_S):
                return not await self.answers(ends)
        except TimeoutError:
            return True

    async def test_silence_is_for_good_and_new_ones_work(self):
        old = await self.connect()
        self.assertTrue(await self.answers(old))
        self.assertEqual(1, self.cable.silence())
        self.assertTrue(await self.silent(old))
        self.assertTrue(await self.answers(await self.connect()))
        self.assertTrue(await self.silent(old))

    async def test_partition_and_heal(self):
        self.cable.partition()
        cut_off = await self.connect()
        self.assertTrue(await self.silent(cut_off))
        self.cable.heal()
        self.assertTrue(await self.silent(cut_off))
        self.assertTrue(await self.answers(await self.connect()))

    async def test_cut_resets(self):
        reader, _ = ends = await self.connect()
        self.assertTrue(await self.answers(ends))
        self.cable.cut()
        with self.assertRaises(ConnectionResetError):
            await reader.read(1)

    async def test_delay_keeps_the_order(self):
        self.cable.delay_ms = 10
        reader, writer = await self.connect()
        sent = b''.join(b'%03d' % n for n in range(50))
        for start in range(0, len(sent), 3):
            writer.write(sent[start : start + 3])
            await asyncio.sleep(0)
        self.assertEqual(sent, await reader.readexactly(len(sent)))

    async def test_end_of_stream_passes(self):
        reader, writer = await self.connect()
        writer.write(b'abc')
        writer.write_eof()
        self.assertEqual(b'abc', await reader.read())
