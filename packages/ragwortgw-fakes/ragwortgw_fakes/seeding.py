"""Writes many organisations and keys straight to the platform stand-in."""

import base64
from typing import Any

import msgspec

from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_fakes import calls
from ragwortgw_fakes import system

VALUES_PATH = '/v1/values/'


def grow(whole: system.System, count: int) -> int:
    """Adds copies of the organisation 'first' until there are enough.

    Args:
      whole: The system; nobody else may change its configuration.
      count: Objects wanted in the configuration.
    Returns: The number of objects.
    """
    address = whole.platform.address
    stored = _get(address, configuration.HEAD_KEY)
    value = base64.b64decode(stored['value'])
    head = configuration.load_head(value).unwrap()
    objects = dict(head['objects'])
    revision = head['revision'] + 1
    path = 'organisation/first'
    first = _get(address, configuration.object_key(path, objects[path]))
    pattern = msgspec.json.decode(base64.b64decode(first['value']))
    while len(objects) < count:
        name = f'organisation-{len(objects)}'
        added = {
            f'organisation/{name}': {**pattern, 'id': name},
            f'key/{system.hash_of(name)}': documents.CallerKey(
                id=system.hash_of(name), organisation=name, label='seeded'
            ),
        }
        for path, document in added.items():
            objects[path] = revision
            key = configuration.object_key(path, revision)
            _put(address, key, document, 0)
    grown = {**head, 'revision': revision, 'objects': objects}
    _put(address, configuration.HEAD_KEY, grown, stored['revision'])
    return len(objects)


def _get(address: str, key: str) -> Any:
    answer = calls.call(address, 'GET', VALUES_PATH + key, {}, b'')
    if answer.status != 200:
        raise calls.Refused(answer)
    return answer.json()


def _put(address: str, key: str, document: Any, revision: int) -> None:
    value = base64.b64encode(msgspec.json.encode(document)).decode()
    fields = {'value': value, 'revision': revision, 'lease': ''}
    body = msgspec.json.encode(fields)
    answer = calls.call(address, 'PUT', VALUES_PATH + key, {}, body)
    if answer.status != 200:
        raise calls.Refused(answer)
