"""Session ids that carry the start of their session."""

import hashlib
import hmac
import re
from typing import NamedTuple

import uuid_utils
import xxhash

SESSION_SKEW_MS = 1_000
TOKEN_PREFIX = 'rgw1'
MAC_HEX_CHARS = 24


class Session(NamedTuple):
    """A session id as read.

    Args:
      key: What is hashed to select the version.
      began_at_ms: Start of the session, Unix ms; None where unknown.
    """

    key: str
    began_at_ms: int | None


def new_session_token(session: str, secret: str, now_ms: int) -> str:
    """Makes a signed session id that carries its start.

    Args:
      session: Session id as sent by the caller, of any form.
      secret: Key that all entries share.
      now_ms: Start of the session, Unix ms.
    Returns: The id that the caller shall send from now on.
    """
    key = xxhash.xxh64_hexdigest(encode_text(session))
    signed = f'{TOKEN_PREFIX}.{now_ms:x}.{key}'
    return f'{signed}.{_mac(signed, secret)}'


def read_session(session: str, secret: str, now_ms: int) -> Session:
    """Reads a session id.

    A time that lies ahead counts as unknown, since the steps up to it
    may not all be known yet; so does a token with a wrong signature.

    Args:
      session: Session id as sent by the caller.
      secret: Key that all entries share.
      now_ms: Unix ms.
    Returns: The session; without a start where it needs a token.
    """
    parsed = parse_session(session)
    signed, _, mac = session.rpartition('.')
    if signed and not _same(mac, _mac(signed, secret)):
        return Session(session, None)
    began_at_ms = parsed.began_at_ms
    if began_at_ms is None or began_at_ms > now_ms + SESSION_SKEW_MS:
        return Session(session, None)
    return parsed


def parse_session(session: str) -> Session:
    """Reads a session id without a look at its signature or the time.

    Args:
      session: UUIDv7, or token; any other id has no start.
    Returns: The session.
    """
    prefix, _, rest = session.partition('.')
    if prefix == TOKEN_PREFIX and rest.count('.') == 2:
        began_hex, key, _ = rest.split('.')
        return Session(key, _hex_number(began_hex))
    try:
        parsed = uuid_utils.UUID(session)
    except ValueError:
        return Session(session, None)
    if parsed.version != 7:
        return Session(session, None)
    return Session(str(parsed), parsed.timestamp)


def _hex_number(text: str) -> int | None:
    if re.fullmatch('[0-9a-f]{1,16}', text) is None:
        return None
    return int(text, 16)


def _mac(signed: str, secret: str) -> str:
    digest = hmac.new(encode_text(secret), encode_text(signed), hashlib.sha256)
    return digest.hexdigest()[:MAC_HEX_CHARS]


def _same(mac: str, wanted: str) -> bool:
    return hmac.compare_digest(encode_text(mac), encode_text(wanted))


def encode_text(text: str) -> bytes:
    """Encodes any text, also one that is not valid Unicode."""
    return text.encode(errors='backslashreplace')
