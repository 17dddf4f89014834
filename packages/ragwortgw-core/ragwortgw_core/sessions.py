"""Session ids that carry the start time of their session.

The start decides which roll-out step applies, so that a session keeps its
version at every entry. It is taken from a UUIDv7, or from a token that
an entry signed.
"""

import hashlib
import hmac
import re
from typing import NamedTuple

import uuid_utils
import xxhash

#: How far the start of a session may be ahead of this entry's clock, ms.
SESSION_SKEW_MS = 1_000
TOKEN_PREFIX = 'rgw1'
MAC_HEX_CHARS = 24


class Session(NamedTuple):
    """A parsed session id.

    Args:
      key: The part that is hashed to select the version.
      began_at_ms: Start of the session, Unix ms; None if unknown.
    """

    key: str
    began_at_ms: int | None


def new_session_token(session: str, secret: str, now_ms: int) -> str:
    """Builds a signed session id that carries the session's start.

    Args:
      session: Session id as sent by the caller, in any form.
      secret: Signing key that all entries share.
      now_ms: Start of the session, Unix ms.
    Returns: The id that the caller has to send from now on.
    """
    key = xxhash.xxh64_hexdigest(encode_text(session))
    signed = f'{TOKEN_PREFIX}.{now_ms:x}.{key}'
    return f'{signed}.{_mac(signed, secret)}'


def read_session(session: str, secret: str, now_ms: int) -> Session:
    """Parses and verifies a session id.

    A start in the future counts as unknown, since not all roll-out steps
    up to it may be known yet. So does that of a token with an invalid
    signature.

    Args:
      session: Session id as sent by the caller.
      secret: Signing key that all entries share.
      now_ms: Unix ms.
    Returns: The session; began_at_ms is None if the caller has to be
      given a token (new_session_token).
    """
    parsed = parse_session(session)
    signed, _, mac = session.rpartition('.')
    if signed and not _macs_equal(mac, _mac(signed, secret)):
        return Session(session, None)
    began_at_ms = parsed.began_at_ms
    if began_at_ms is None or began_at_ms > now_ms + SESSION_SKEW_MS:
        return Session(session, None)
    return parsed


def parse_session(session: str) -> Session:
    """Parses a session id without verifying its signature or its time.

    Args:
      session: A UUIDv7 or a token; any other id has no start.
    Returns: The session.
    """
    prefix, _, token = session.partition('.')
    if prefix == TOKEN_PREFIX and token.count('.') == 2:
        began_hex, key, _ = token.split('.')
        return Session(key, _parse_hex(began_hex))
    try:
        parsed = uuid_utils.UUID(session)
    except ValueError:
        return Session(session, None)
    if parsed.version != 7:
        return Session(session, None)
    return Session(str(parsed), parsed.timestamp)


def _parse_hex(text: str) -> int | None:
    if re.fullmatch('[0-9a-f]{1,16}', text) is None:
        return None
    return int(text, 16)


def _mac(signed: str, secret: str) -> str:
    digest = hmac.new(encode_text(secret), encode_text(signed), hashlib.sha256)
    return digest.hexdigest()[:MAC_HEX_CHARS]


def _macs_equal(mac: str, expected: str) -> bool:
    """Compares two MACs in constant time."""
    return hmac.compare_digest(encode_text(mac), encode_text(expected))


def encode_text(text: str) -> bytes:
    """Encodes any text, including lone surrogates, without an error."""
    return text.encode(errors='backslashreplace')
