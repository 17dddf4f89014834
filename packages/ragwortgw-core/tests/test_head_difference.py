"""Tests of encoding and applying head differences."""

import unittest

import msgspec

from ragwortgw_core import configuration
from ragwortgw_core import head_difference


def command(revision):
    """Builds a command of an order."""
    return {
        'id': f'c{revision}',
        'operator': 'o',
        'at_ms': revision,
        'revision': revision,
        'base_revision': revision - 1,
        'text': 'set organisation a rate 1',
        'changed': ['organisation/a'],
    }


def head(revision, objects, commands):
    """Builds a head value."""
    document = {'revision': revision, 'objects': objects}
    document['commands'] = [command(number) for number in commands]
    return msgspec.json.encode(document)


class HeadDifferenceTest(unittest.TestCase):
    def transfer(self, old, new, base):
        difference = head_difference.encode(
            configuration.load_head(new).unwrap(), new, base
        )
        held = configuration.load_head(old).unwrap()
        return head_difference.apply(held, difference)

    def test_changed_and_added_objects_and_commands_are_transferred(self):
        old = head(7, {'a': 1, 'b': 7}, range(3, 8))
        new = head(9, {'a': 9, 'b': 7, 'c': 8}, range(5, 10))
        self.assertEqual(new, self.transfer(old, new, 7))
        self.assertEqual(new, self.transfer(old, new, 4))
        self.assertEqual(new, self.transfer(new, new, 7))

    def test_difference_that_does_not_match_is_rejected(self):
        new = head(9, {'a': 9}, (9,))
        removed = head(7, {'a': 1, 'b': 7}, ())
        older = head(2, {}, ())
        newer = head(10, {'a': 10}, (9, 10))
        self.assertIsNone(self.transfer(removed, new, 7))
        self.assertIsNone(
            self.transfer(older, head(9, {'a': 9, 'z': 3}, (9,)), 7)
        )
        self.assertIsNone(self.transfer(newer, new, 7))
        held = configuration.load_head(new).unwrap()
        for garbage in (b'', b'{}', b'[1]', new):
            self.assertIsNone(head_difference.apply(held, garbage))
