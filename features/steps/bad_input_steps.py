"""Steps that send requests which must be refused."""

import socket

import behave
import msgspec

from ragwortgw_fakes import calls
from ragwortgw_fakes import system
from ragwortgw_fakes import traffic

CHAT_PATH = '/v1/chat/completions'
KEY = {'Authorization': f'Bearer {system.CALLER_KEY}'}
BODY_LIMIT_BYTES = 1 << 20
HEADER_LIMIT_BYTES = 16_384
SOCKET_TIMEOUT_S = 20


def chat_body(**fields):
    messages = [{'role': 'user', 'content': 'hello'}]
    return msgspec.json.encode(
        {'model': 'proof', 'messages': messages, **fields}
    )


def post(address, body, headers=KEY, path=CHAT_PATH, method='POST'):
    return calls.call(address, method, path, headers, body)


def raw(address, data):
    """Sends bytes as they are; returns status and problem of the answer."""
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S) as sock:
        sock.sendall(data)
        answer = read_answer(sock)
    head, _, body = answer.partition(b'\r\n\r\n')
    status = int(head.split()[1])
    return calls.Answer(status, {}, body)


def read_answer(sock):
    received = b''
    while data := sock.recv(65_536):
        received += data
        head, end, body = received.partition(b'\r\n\r\n')
        if not end:
            continue
        for line in head.split(b'\r\n'):
            name, _, value = line.partition(b':')
            if name.lower() == b'content-length':
                if len(body) >= int(value):
                    return received
    return received


REQUESTS = {
    'malformed JSON': lambda a: post(a, b'{"model": '),
    'no messages': lambda a: post(a, b'{"model": "proof"}'),
    'unknown model': lambda a: post(a, chat_body(model='none')),
    'no key': lambda a: post(a, chat_body(), {}),
    'wrong key': lambda a: post(
        a, chat_body(), {'Authorization': 'Bearer wrong'}
    ),
    'unknown path': lambda a: post(a, chat_body(), path='/v1/none'),
    'wrong method': lambda a: post(a, b'', method='PUT'),
    'body too large': lambda a: post(a, b' ' * (BODY_LIMIT_BYTES + 1)),
    'headers too large': lambda a: post(
        a, chat_body(), {**KEY, 'X-Long': 'x' * HEADER_LIMIT_BYTES}
    ),
    'no HTTP at all': lambda a: raw(a, b'hello entry\r\n\r\n'),
}


def address_of(context):
    return context.system.entries_by_id['entry-1'].ready['caller_address']


@behave.then('these requests are refused')
def step_bad_requests(context):
    for row in context.table:
        answer = REQUESTS[row['request']](address_of(context))
        assert answer.status == int(row['status']), (row, answer)
        document = answer.json()
        assert document['type'].endswith(f':{row["type"]}'), (row, document)


@behave.then('a second request before the first answer is refused as {slug}')
def step_pipelined(context, slug):
    body = chat_body()
    request = (
        f'POST {CHAT_PATH} HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: Bearer {system.CALLER_KEY}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body
    host, _, port = address_of(context).rpartition(':')
    received = b''
    with socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S) as sock:
        sock.sendall(request + request)
        while data := sock.recv(65_536):
            received += data
    assert received.startswith(b'HTTP/1.1 200'), received
    assert received.count(b'HTTP/1.1 ') == 2, received
    assert f':{slug}"'.encode() in received, received


def topup_refused(context, slug, headers=(), body=b'{}'):
    entry = context.system.entries_by_id['entry-1']
    sent = traffic.send(
        traffic.Wanted(
            entry, 'lunch', '', 'POST', '/lunch/topups', body, headers=headers
        )
    )
    assert sent.problem()['type'].endswith(f':{slug}'), sent


@behave.then('a top-up without a key is refused as {slug}')
def step_no_key(context, slug):
    topup_refused(context, slug)


@behave.then('a top-up with key "{key}" is refused as {slug}')
def step_bad_key(context, key, slug):
    topup_refused(context, slug, (('Idempotency-Key', key),))


@behave.then('another body with the same key is refused as {slug}')
def step_reused(context, slug):
    headers = (('Idempotency-Key', context.key),)
    body = b'{"card": "ben", "cents": 1}'
    topup_refused(context, slug, headers, body)
