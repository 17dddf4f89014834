"""Parser of the operators' query and command language.

The syntax is in grammar.lark. A statement is parsed into Show, Explain or
Order; a failure gives the column and, if possible, suggests a word.
"""

import difflib
import functools
import importlib.resources
from typing import Any, NamedTuple

import lark
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ragwortgw_core import errors


class Word(NamedTuple):
    """A word of a statement and the column, from 1, where it starts."""

    text: str
    column: int


class Condition(NamedTuple):
    """A condition of a query: a column compared with a value."""

    field: Word
    operator: str
    value: Word


class Property(NamedTuple):
    """A property of an order and its values."""

    name: Word
    values: tuple[Word, ...]


class Show(NamedTuple):
    """A query: the rows of a subject, filtered, grouped and sorted.

    Args:
      subject: Subject of the query.
      conditions: Conditions that all rows must meet.
      group: Columns to group by; empty for no grouping.
      order: Column to sort by, or None.
      descending: Whether to sort in descending order.
      limit: Maximum number of rows, or NO_LIMIT.
    """

    subject: Word
    conditions: tuple[Condition, ...]
    group: tuple[Word, ...]
    order: Word | None
    descending: bool
    limit: int


class Explain(NamedTuple):
    """A query on one request: what allowed, served and billed it."""

    request: Word


class Order(NamedTuple):
    """An order that changes the configuration.

    Args:
      verb: 'create', 'set', 'rollout' and so on.
      kind: Kind of the object; '' where the verb implies it.
      name: Id of the object.
      properties: Properties in the sequence in which they were written.
    """

    verb: str
    kind: Word
    name: Word
    properties: tuple[Property, ...]


Statement = Show | Explain | Order

NO_WORD = Word('', 1)
NO_LIMIT = 0


@functools.cache
def parser() -> lark.Lark:
    """Returns the parser, which is built on the first call."""
    grammar = (
        importlib.resources.files('ragwortgw_core')
        .joinpath('grammar.lark')
        .read_text()
    )
    return lark.Lark(grammar, parser='lalr', maybe_placeholders=True)


def parse(text: str) -> Result[Statement, errors.BadOrder]:
    """Parses one statement.

    Args:
      text: The statement.
    Returns: The statement; or a failure with the column (from 1) and,
      where one is similar, the word that was probably meant.
    """
    try:
        tree = parser().parse(text)
    except lark.exceptions.UnexpectedInput as error:
        return Failure(explain_error(text, error))
    try:
        return Success(_Builder().transform(tree))
    except lark.exceptions.VisitError as error:
        if isinstance(error.orig_exc, _BadLimit):
            return Failure(error.orig_exc.failure)
        raise


def explain_error(
    text: str, error: lark.exceptions.UnexpectedInput
) -> errors.BadOrder:
    """Converts an error of the parser into a typed failure."""
    if isinstance(error, lark.exceptions.UnexpectedEOF):
        expected = describe_terminals(error.expected)
        reason = (
            f'the statement ends early; expected {join_alternatives(expected)}'
        )
        return errors.BadOrder(reason, len(text) + 1, '')
    if isinstance(error, lark.exceptions.UnexpectedToken):
        if error.token.type == '$END':
            expected = describe_terminals(error.expected)
            reason = (
                'the statement ends early; expected '
                f'{join_alternatives(expected)}'
            )
            return errors.BadOrder(reason, len(text) + 1, '')
        token = str(error.token)
        expected = describe_terminals(error.expected)
        reason = (
            f'unexpected {token!r}; expected {join_alternatives(expected)}'
        )
        return errors.BadOrder(reason, error.column, suggest(token, expected))
    column = getattr(error, 'column', 1)
    character = text[column - 1 : column]
    return errors.BadOrder(f'unexpected character {character!r}', column, '')


def describe_terminals(expected: Any) -> list[str]:
    """Returns the expected terminals as operators write them.

    Args:
      expected: Names of terminals, as in the errors of the parser.
    Returns: Keywords as they are, and the names of other terminals.
    """
    names = []
    for terminal in parser().terminals:
        if terminal.name not in expected:
            continue
        pattern = terminal.pattern
        is_keyword = pattern.type == 'str'
        names.append(pattern.value if is_keyword else terminal.name.lower())
    return sorted(names)


def join_alternatives(words: list[str]) -> str:
    """Joins words as 'a, b or c'."""
    if len(words) < 2:
        return ''.join(words)
    return ', '.join(words[:-1]) + ' or ' + words[-1]


def suggest(word: str, known: Any) -> str:
    """Returns the known word most similar to the given one, or ''."""
    matches = difflib.get_close_matches(word.lower(), list(known), 1, 0.6)
    return matches[0] if matches else ''


class _BadLimit(Exception):
    """A limit is not a whole number above 0."""

    def __init__(self, failure: errors.BadOrder) -> None:
        super().__init__(failure)
        self.failure = failure


class _Builder(lark.Transformer):
    """Builds typed statements from a parse tree."""

    def WORD(self, token: lark.Token) -> Word:
        return Word(str(token), token.column or 1)

    def STRING(self, token: lark.Token) -> Word:
        return Word(str(token)[1:-1], token.column or 1)

    def start(self, children: list[Any]) -> Statement:
        return children[0]

    def where(self, children: list[Any]) -> tuple[Condition, ...]:
        return tuple(children)

    def condition(self, children: list[Any]) -> Condition:
        field, operator, value = children
        return Condition(field, str(operator), value)

    def group(self, children: list[Any]) -> tuple[Word, ...]:
        return tuple(children)

    def ordering(self, children: list[Any]) -> tuple[Word, bool]:
        field, direction = children
        return field, str(direction) == 'desc'

    def limit(self, children: list[Any]) -> int:
        (count,) = children
        if not count.text.isdigit() or int(count.text) == 0:
            raise _BadLimit(
                errors.BadOrder(
                    'the limit is a whole number above 0', count.column, ''
                )
            )
        return int(count.text)

    def show(self, children: list[Any]) -> Show:
        subject, where, group, ordering, limit = children
        order, descending = ordering or (None, False)
        return Show(
            subject,
            where or (),
            group or (),
            order,
            descending,
            limit or NO_LIMIT,
        )

    def explain(self, children: list[Any]) -> Explain:
        return Explain(children[0])

    def property(self, children: list[Any]) -> Property:
        return Property(children[0], tuple(children[1:]))

    def create(self, children: list[Any]) -> Order:
        kind, name, *properties = children
        return Order('create', kind, name, tuple(properties))

    def set(self, children: list[Any]) -> Order:
        kind, name, *properties = children
        return Order('set', kind, name, tuple(properties))

    def delete(self, children: list[Any]) -> Order:
        kind, name = children
        return Order('delete', kind, name, ())

    def permit(self, children: list[Any]) -> Order:
        return build_order('permit', children[0], use=children[1:])

    def forbid(self, children: list[Any]) -> Order:
        return build_order('forbid', children[0], use=children[1:])

    def rollout(self, children: list[Any]) -> Order:
        model, candidate, baseline, *steps = children
        return build_order(
            'rollout', model, to=[candidate], baseline=[baseline], steps=steps
        )

    def pause(self, children: list[Any]) -> Order:
        return build_order('pause', children[0])

    def resume(self, children: list[Any]) -> Order:
        return build_order('resume', children[0])

    def withdraw(self, children: list[Any]) -> Order:
        return build_order('withdraw', children[0], reason=children[1:])

    def reinstate(self, children: list[Any]) -> Order:
        return build_order('reinstate', children[0])

    def drain(self, children: list[Any]) -> Order:
        return build_order('drain', children[0], reason=children[1:])

    def undrain(self, children: list[Any]) -> Order:
        return build_order('undrain', children[0])


def build_order(verb: str, name: Word, **values_by_name: list[Any]) -> Order:
    """Builds an order whose verb implies the kind of its object.

    Args:
      verb: Verb of the order.
      name: Id of the object.
      **values_by_name: Values of each property; None for an omitted one.
    Returns: The order.
    """
    properties = []
    for key, values in values_by_name.items():
        present = tuple(value for value in values if value is not None)
        if present:
            properties.append(Property(Word(key, present[0].column), present))
    return Order(verb, NO_WORD, name, tuple(properties))
