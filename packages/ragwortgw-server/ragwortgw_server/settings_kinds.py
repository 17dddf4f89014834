"""Parsers of setting values, by kind."""

from collections.abc import Callable
import ipaddress
import os
from typing import Any, NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_server import settings_table

MAX_PORT = 65535


class InvalidSetting(NamedTuple):
    """The value of a setting can not be used."""

    setting: str
    value: str
    reason: str


class MissingSetting(NamedTuple):
    """A required setting was not given."""

    setting: str


class UnreadableFile(NamedTuple):
    """A file that a setting names can not be read."""

    setting: str
    path: str


class IncompleteTls(NamedTuple):
    """Settings of TLS that only work together were given in part."""

    setting: str
    missing: str


Fault = InvalidSetting | MissingSetting | UnreadableFile | IncompleteTls
Parser = Callable[[settings_table.Definition, str], Result[Any, Fault]]

parsers_by_kind: dict[str, Parser] = {}


def kind(name: str) -> Callable[[Parser], Parser]:
    """Registers the decorated parser for a kind of value.

    Args:
      name: The kind, as definitions name it.
    Returns: The decorator.
    """

    def register(parser: Parser) -> Parser:
        parsers_by_kind[name] = parser
        return parser

    return register


def _invalid(
    definition: settings_table.Definition, text: str, reason: str
) -> Result[Any, Fault]:
    return Failure(InvalidSetting(definition.name, text, reason))


@kind('text')
def parse_text(
    definition: settings_table.Definition, text: str
) -> Result[Any, Fault]:
    """Accepts any text."""
    return Success(text)


@kind('word')
def parse_word(
    definition: settings_table.Definition, text: str
) -> Result[Any, Fault]:
    """Accepts letters, digits and '-_.'."""
    if text and all(c.isascii() and (c.isalnum() or c in '-_.') for c in text):
        return Success(text)
    return _invalid(definition, text, 'letters, digits and -_. are allowed')


@kind('choice')
def parse_choice(
    definition: settings_table.Definition, text: str
) -> Result[Any, Fault]:
    """Accepts one of the definition's words."""
    if text in definition.choices:
        return Success(text)
    return _invalid(
        definition, text, 'allowed: ' + ', '.join(definition.choices)
    )


@kind('count')
def parse_count(
    definition: settings_table.Definition, text: str
) -> Result[Any, Fault]:
    """Accepts a whole number from 0 on."""
    if text.isascii() and text.isdigit() and len(text) < 16:
        return Success(int(text))
    return _invalid(definition, text, 'a whole number is needed')


@kind('positive')
def parse_positive(
    definition: settings_table.Definition, text: str
) -> Result[Any, Fault]:
    """Accepts a whole number from 1 on."""
    parsed = parse_count(definition, text)
    if isinstance(parsed, Success) and parsed.unwrap() == 0:
        return _invalid(definition, text, 'must be above 0')
    return parsed


@kind('address')
def parse_address(
    definition: settings_table.Definition, text: str
) -> Result[Any, Fault]:
    """Accepts 'ip:port' with an IPv4 address."""
    reason = address_fault(text)
    return _invalid(definition, text, reason) if reason else Success(text)


def address_fault(text: str) -> str:
    """Returns what is wrong with an 'ip:port', '' if nothing is."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return 'ip:port is needed'
    if not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        return 'the port is not valid'
    return ''


@kind('optional_address')
def parse_optional_address(
    definition: settings_table.Definition, text: str
) -> Result[Any, Fault]:
    """Accepts 'ip:port' or nothing."""
    return parse_address(definition, text) if text else Success('')


@kind('addresses')
def parse_addresses(
    definition: settings_table.Definition, text: str
) -> Result[Any, Fault]:
    """Accepts several 'ip:port', separated by commas."""
    addresses = tuple(part.strip() for part in text.split(',') if part.strip())
    for address in addresses:
        parsed = parse_address(definition, address)
        if not isinstance(parsed, Success):
            return parsed
    if not addresses and definition.default is None:
        return _invalid(definition, text, 'an address is needed')
    return Success(addresses)


@kind('path')
def parse_path(
    definition: settings_table.Definition, text: str
) -> Result[Any, Fault]:
    """Accepts the path of a readable file or nothing."""
    if text and not os.access(text, os.R_OK):
        return Failure(UnreadableFile(definition.name, text))
    return Success(text)
