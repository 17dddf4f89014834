"""Measures how a gateway's cost grows, and what that makes at full size."""

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import Any, NamedTuple

from ragwortgw_core import events as core_events
from ragwortgw_core import platform
from ragwortgw_fakes import gateway_formats
from ragwortgw_fakes import simulated_load
from ragwortgw_gateway import digests
from ragwortgw_gateway import documents
from ragwortgw_gateway import events
from ragwortgw_gateway import gateway
from ragwortgw_gateway import gossip
from ragwortgw_gateway import requests

NOW_MS = 1_000_000
MS_PER_S = 1_000
US_PER_S = 1_000_000
REPEATS = 200
#: Sizes that a slope is measured between.
FEW, MANY = 50, 450
#: The size that the plan names.
GATEWAYS = 360
SERVERS = 12_000
REQUESTS_PER_S = 13_000
#: Gateways that have told of their work within its lifetime.
KNOWN_SENDERS = 24
#: A prompt's shared parts, as digests tell them.
PARTS = 2


class Slope(NamedTuple):
    """A cost at size 0, and what one more adds."""

    base: float
    each: float

    def at(self, count: float) -> float:
        """Returns the cost at a size."""
        return self.base + self.each * count


def slope(measure: Callable[[int], float]) -> Slope:
    """Measures a cost at two sizes."""
    few, many = measure(FEW), measure(MANY)
    each = (many - few) / (MANY - FEW)
    return Slope(few - each * FEW, each)


def make_digest(servers: int) -> digests.Digest:
    """Makes the digest of a gateway with work at some servers."""
    return digests.Digest(
        'edge-zone-a-12',
        'edge-zone-a-12-0123456789ab',
        7,
        '10.1.0.40:8229',
        False,
        1_000,
        40,
        {
            f'i-{n:010x}': digests.ServerLoad(3, 240, 900, 40_000)
            for n in range(servers)
        },
        (),
        {},
    )


def make_note() -> digests.Note:
    """Makes the note of a prompt that is sent."""
    parts = tuple(
        requests.PrefixBlock(f'{n:016x}', 1_000) for n in range(PARTS)
    )
    return digests.Note(
        'edge-zone-a-12',
        7,
        digests.ServerLoad(1, 240, 900, 17_000),
        digests.Prefill('i-0123456789', 'model-large', parts, 360),
    )


def digest_bytes(servers: int) -> float:
    """Returns the size of a digest by servers with work."""
    return len(digests.encode(make_digest(servers)))


def new_state(servers: int) -> gateway.State:
    """Makes a gateway that knows a configuration and some servers."""
    configuration = simulated_load.make_configuration(
        ('small', 'large'), {'small': 0.01, 'large': 0.1}, 500_000
    )
    registered = [
        documents.BackendServer(
            f'i-{n:010x}', 1, 'model', f's{n}', 'zone-a', 'v1', 64, False
        )
        for n in range(servers)
    ]
    state = gateway.new_gateway(
        'edge-1',
        'edge-1-x',
        'zone-a',
        'edge-1:1',
        gateway_formats.JsonFormats(),
        gateway.Options(),
    )
    reduce(state, core_events.Tick())
    found = (
        gateway_formats.make_found('orders/configuration', configuration, 1),
        *(
            gateway_formats.make_found(f'servers/{each.id}', each, 1)
            for each in registered
        ),
    )
    for op_id in range(4):
        listed = platform.Listed('', found, 1)
        reduce(state, core_events.PlatformAnswered(op_id, listed))
    return state


def reduce(state: gateway.State, event: Any) -> list[Any]:
    """Applies an event at the fixed time."""
    stamp = core_events.Stamp(NOW_MS, 0)
    return gateway.REDUCER.reduce(state, stamp, event)[1]


def time_us(action: Callable[[], Any]) -> float:
    """Returns the processor time of one call, the best of some series."""
    best = float('inf')
    for _ in range(5):
        began_s = time.process_time()
        for _ in range(REPEATS):
            action()
        took_s = time.process_time() - began_s
        best = min(best, took_s / REPEATS * US_PER_S)
    return best


def receive_us(servers: int) -> float:
    """Returns the time to take a digest, by servers with work.

    Others have told as much before.
    """
    state = new_state(1)
    for number in range(KNOWN_SENDERS):
        other = make_digest(servers)._replace(sender=f'other-{number}')
        reduce(state, events.DigestReceived(other))
    data = digests.encode(make_digest(servers))
    sequence = 0

    def receive() -> None:
        nonlocal sequence
        sequence += 1
        digest = digests.decode(data)
        assert isinstance(digest, digests.Digest)
        digest = digest._replace(sequence=sequence)
        reduce(state, events.DigestReceived(digest))

    return time_us(receive)


def note_us() -> float:
    """Returns the time to take a note of a prompt that was sent."""
    state = new_state(FEW)
    reduce(state, events.DigestReceived(make_digest(FEW)))
    data = digests.encode(make_note())

    def receive() -> None:
        note = digests.decode(data)
        assert isinstance(note, digests.Note)
        reduce(state, events.NoteReceived(note))

    return time_us(receive)


def place_us(servers: int) -> float:
    """Returns the time to choose among servers for a prompt."""
    state = new_state(servers)
    parts = (
        requests.PrefixBlock('shared', 4_000),
        requests.PrefixBlock('own', 500),
    )
    request = requests.Request(
        'r',
        'POST',
        '/long/x',
        'sim.example',
        '/long/x',
        '',
        (),
        b'',
        requests.ANY_MODEL,
        requests.Prompt(4_500, 200, parts),
        '',
        0,
        NOW_MS,
        NOW_MS + 10_000,
        1,
    )
    known = state.fleet.available_servers('model', NOW_MS)
    assert len(known) == servers, (len(known), servers)
    service = state.service('model')
    assert state.table is not None
    route = state.table.match(request.host, request.path)
    assert route is not None
    return time_us(
        lambda: state.server_selector.choose(
            request, route, 'small', known, (), service, NOW_MS, 5
        )
    )


def server_bytes(servers: int) -> float:
    """Returns the memory of a gateway by servers that it knows."""
    gc.collect()
    tracemalloc.start()
    state = new_state(servers)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(state.fleet.servers_by_id) == servers
    return float(size)


def main() -> None:
    """Prints the slopes, and what they make at the plan's size."""
    sizes = slope(digest_bytes)
    note_bytes = len(digests.encode(make_note()))
    noting_us = note_us()
    receiving = slope(receive_us)
    placing = slope(place_us)
    memory = slope(server_bytes)
    print(
        f'digest: {sizes.base:.0f} B + {sizes.each:.1f} B a server with work'
    )
    print(f'note: {note_bytes} B, {noting_us:.0f} us to take')
    print(
        f'taking a digest: {receiving.base:.0f} us'
        f' + {receiving.each:.2f} us a server in it'
    )
    print(f'placing: {placing.base:.0f} us + {placing.each:.2f} us a server')
    print(f'memory: {memory.each:.0f} B a server')
    per_s = REQUESTS_PER_S / GATEWAYS
    sent_per_s = MS_PER_S / gossip.DIGEST_INTERVAL_MS * gossip.DIGEST_FANOUT
    # A gateway has a second's requests under way, each at another server.
    size = sizes.at(per_s)
    taking_s = sent_per_s * receiving.at(per_s) / US_PER_S
    notes_per_s = per_s * min(GATEWAYS - 1, gossip.NOTE_FANOUT)
    noting_s = notes_per_s * noting_us / US_PER_S
    placing_s = per_s * placing.at(SERVERS) / US_PER_S
    print(f'at {GATEWAYS} gateways, {SERVERS} servers, {REQUESTS_PER_S}/s:')
    print(f'  digests: {sent_per_s:.0f}/s of {size:.0f} B sent, as many taken')
    print(f'  bytes: {sent_per_s * size / 1_000:.0f} KB/s each way')
    print(f'  processor for digests: {taking_s:.1%} of a core')
    print(f'  notes: {notes_per_s:.0f}/s sent, as many taken')
    print(f'  bytes: {notes_per_s * note_bytes / 1_000:.0f} KB/s each way')
    print(f'  processor for notes: {noting_s:.1%} of a core')
    print(f'  processor for placing: {placing_s:.1%} of a core')
    print(f'  memory for servers: {memory.at(SERVERS) / 1e6:.1f} MB')


if __name__ == '__main__':
    main()
