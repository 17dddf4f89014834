"""Properties of configuration objects as operators write them.

Maps each property to a document field, parses and checks its values,
and masks secrets wherever documents or orders are shown.
"""

from collections.abc import Callable
import hashlib
import re
from typing import Any, NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import errors
from ragwortgw_core import language

ALL_BASIS_POINTS = 10_000
MIN_SECRET_CHARS = 32
DIGEST_CHARS = 12
SHA256 = re.compile('[0-9a-f]{64}')
HEX = re.compile('[0-9a-fA-F]+')


class PropertyType(NamedTuple):
    """Definition of a property.

    Args:
      field: Field of the document.
      parse: Parser of the values as written; raises InvalidValue.
      default: Value of a new object that does not set the property.
      secret: Whether the value is masked in queries and in the audit.
    """

    field: str
    parse: Callable[[tuple[str, ...]], Any]
    default: Any
    secret: bool = False


class InvalidValue(Exception):
    """A value is not valid; the message says what is expected."""


def parse_text(values: tuple[str, ...]) -> str:
    """Parses one word or quoted text."""
    if len(values) != 1:
        raise InvalidValue('expected one value')
    return values[0]


def parse_sha256(values: tuple[str, ...]) -> str:
    """Parses the SHA-256 of a key, in hex."""
    value = parse_text(values)
    if not SHA256.fullmatch(value):
        raise InvalidValue(
            'expected a SHA-256 in hex, as "ragwortgw key" prints'
        )
    return value


def parse_secret(values: tuple[str, ...]) -> str:
    """Parses a signing secret in hex and checks that it is long enough."""
    value = parse_text(values)
    if len(value) < MIN_SECRET_CHARS or not HEX.fullmatch(value):
        raise InvalidValue(f'expected at least {MIN_SECRET_CHARS} hex digits')
    return value


def parse_texts(values: tuple[str, ...]) -> list[str]:
    """Parses a list of words."""
    return list(values)


def parse_integer(values: tuple[str, ...]) -> int:
    """Parses an integer, 0 or above."""
    value = parse_text(values)
    if not value.isdigit():
        raise InvalidValue('expected a whole number')
    return int(value)


def parse_number(values: tuple[str, ...]) -> float:
    """Parses a finite number, 0 or above."""
    try:
        value = float(parse_text(values))
    except ValueError:
        raise InvalidValue('expected a number') from None
    if not 0 <= value < float('inf'):
        raise InvalidValue('expected a number, 0 or above')
    return value


def parse_fraction(values: tuple[str, ...]) -> float:
    """Parses a number in 0..1."""
    value = parse_number(values)
    if value > 1:
        raise InvalidValue('expected a number in 0..1')
    return value


def parse_percentage(value: str) -> int:
    """Parses a percentage such as '2.5%' into basis points."""
    percentage = parse_number((value.removesuffix('%'),))
    points = round(percentage * 100)
    if not value.endswith('%') or points > ALL_BASIS_POINTS:
        raise InvalidValue('expected a percentage such as 10%')
    return points


def choice_parser(*words: str) -> Callable[[tuple[str, ...]], str]:
    """Returns a parser that accepts one of the given words."""

    def parse(values: tuple[str, ...]) -> str:
        if parse_text(values) not in words:
            raise InvalidValue(
                'expected ' + language.join_alternatives(list(words))
            )
        return values[0]

    return parse


parse_priority = choice_parser('interactive', 'background')

PROPERTIES_BY_KIND: dict[str, dict[str, PropertyType]] = {
    'organisation': {
        'permits': PropertyType('permits', parse_texts, []),
        'rate': PropertyType('rate', parse_number, 10.0),
        'burst': PropertyType('burst', parse_number, 20.0),
        'concurrency': PropertyType('concurrency', parse_integer, 100),
        'weight': PropertyType('weight', parse_number, 1.0),
    },
    'key': {
        'organisation': PropertyType('organisation', parse_text, ''),
        'label': PropertyType('label', parse_text, ''),
    },
    'operator': {
        'hash': PropertyType('key_hash', parse_sha256, ''),
        'role': PropertyType(
            'role', choice_parser('read', 'operate', 'administer'), 'read'
        ),
    },
    'model': {
        'kind': PropertyType('kind', choice_parser('chat', 'service'), 'chat'),
        'input': PropertyType('input_micros', parse_integer, 0),
        'output': PropertyType('output_micros', parse_integer, 0),
        'call': PropertyType('call_micros', parse_integer, 0),
        'quality': PropertyType('prior_quality', parse_fraction, 0.5),
        'priority': PropertyType('priority', parse_priority, 'interactive'),
        'routes': PropertyType('routes', parse_texts, []),
    },
    'version': {},
    'cascade': {
        'stages': PropertyType('stages', parse_texts, []),
        'target': PropertyType('target', parse_fraction, 0.0),
        'priority': PropertyType('priority', parse_priority, 'interactive'),
    },
    'system': {
        'ledger': PropertyType(
            'ledger_mode', choice_parser('claims', 'grants'), 'claims'
        ),
        'shards': PropertyType('ledger_shards', parse_integer, 16),
        'session-key': PropertyType('session_key', parse_secret, '', True),
    },
}


def parse_properties(
    kind: str, properties: tuple[language.Property, ...]
) -> Result[dict[str, Any], errors.BadOrder]:
    """Parses the values of an object's properties.

    Args:
      kind: A key of PROPERTIES_BY_KIND.
      properties: The properties as the operator wrote them.
    Returns: Values by document field; or the failure, with the column of
      the unknown property or the invalid value.
    """
    types_by_name = PROPERTIES_BY_KIND[kind]
    fields: dict[str, Any] = {}
    for prop in properties:
        property_type = types_by_name.get(prop.name.text)
        if property_type is None:
            return Failure(unknown_word('property', prop.name, types_by_name))
        try:
            values = tuple(value.text for value in prop.values)
            fields[property_type.field] = property_type.parse(values)
        except InvalidValue as error:
            reason = f'{prop.name.text}: {error}'
            column = prop.values[0].column
            return Failure(errors.BadOrder(reason, column, ''))
    return Success(fields)


def defaults(kind: str) -> dict[str, Any]:
    """Returns the document fields of a kind with their defaults."""
    return {
        property_type.field: list(property_type.default)
        if isinstance(property_type.default, list)
        else property_type.default
        for property_type in PROPERTIES_BY_KIND[kind].values()
    }


def mask(value: str) -> str:
    """Returns the mask of a secret; equal secrets have equal masks."""
    if not value:
        return ''
    digest = hashlib.sha256(value.encode()).hexdigest()
    return f'secret:{digest[:DIGEST_CHARS]}'


def mask_order(order_text: str, order: language.Order) -> str:
    """Masks the secrets in the text of an order.

    Args:
      order_text: The text as the operator wrote it.
      order: The order parsed from it.
    Returns: The text without secrets, which may be stored and shown.
    """
    types_by_name = PROPERTIES_BY_KIND.get(order.kind.text, {})
    for prop in order.properties:
        property_type = types_by_name.get(prop.name.text)
        if property_type is None or not property_type.secret:
            continue
        for value in prop.values:
            order_text = order_text.replace(value.text, mask(value.text))
    return order_text


def mask_field(kind: str, field: str, value: Any) -> Any:
    """Masks the value of a document's field if the field is secret."""
    for property_type in PROPERTIES_BY_KIND.get(kind, {}).values():
        if property_type.field == field and property_type.secret:
            return mask(value)
    return value


def unknown_word(
    what: str, word: language.Word, known: Any
) -> errors.BadOrder:
    """Builds the failure for a word that is not one of the known ones.

    Args:
      what: What the word names, such as 'property'.
      word: The word.
      known: The known words.
    Returns: The failure, which suggests the most similar known word.
    """
    names = sorted(known)
    reason = f'unknown {what} {word.text!r}'
    if names:
        reason += f'; expected {language.join_alternatives(names)}'
    return errors.BadOrder(
        reason, word.column, language.suggest(word.text, names)
    )
