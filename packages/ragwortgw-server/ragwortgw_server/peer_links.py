"""Asks other entries for the configuration they hold."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import ssl
from typing import Any

from returns.result import Success

from ragwortgw_core import events
from ragwortgw_server import clock
from ragwortgw_server import grpc_transport
from ragwortgw_wire import convert
from ragwortgw_wire import ragwortgw_grpc
from ragwortgw_wire import ragwortgw_pb2 as pb

ASK_LIMIT_S = 2.0


async def ask_peers(
    addresses: Iterable[str],
    known_revision: int,
    emit: Callable[[Any], None],
    tls: ssl.SSLContext | None = None,
) -> None:
    """Asks peers at once for what they hold.

    It comes as HostsOffered and ConfigurationOffered.

    Args:
      addresses: 'ip:port' of the peers' gRPC listeners.
      known_revision: The revision held; only newer ones are sent.
      emit: Takes events.
      tls: Client context where TLS is wanted.
    """
    await asyncio.gather(
        *(_ask(address, known_revision, emit, tls) for address in addresses)
    )


async def _ask(
    address: str,
    known_revision: int,
    emit: Callable[[Any], None],
    tls: ssl.SSLContext | None,
) -> None:
    channel = grpc_transport.open_channel(address, tls)
    stub = ragwortgw_grpc.EntryStub(channel)
    request = pb.ConfigurationRequest(known_revision=known_revision)
    call = asyncio.create_task(stub.GetConfiguration(request))
    try:
        await asyncio.wait({call}, timeout=ASK_LIMIT_S)
        if not call.done() or call.exception() is not None:
            return
        read = convert.configuration_from_wire(call.result(), clock.now_ms())
    finally:
        call.cancel()
        channel.abort()
    hosts = convert.hosts_from_wire(call.result().hosts)
    if hosts:
        emit(events.HostsOffered(address, hosts))
    if isinstance(read, Success):
        offered = read.unwrap()
        emit(
            events.ConfigurationOffered(
                address, offered.head, offered.documents
            )
        )
