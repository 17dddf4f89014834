"""Tests of the explanation of one request from logs."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from ragwortgw_cli import explain_command


def line(at_ms, kind, process='edge-1', **fields):
    """Makes a line as a process writes it."""
    return json.dumps(
        {
            'at_ms': at_ms,
            'order': 0,
            'process': process,
            'role': 'gateway',
            'zone': 'zone-a',
            'kind': kind,
            'fields': fields,
        },
        separators=(',', ':'),
    )


LINES = [
    line(100, 'configuration', version=7),
    line(150, 'configuration', 'edge-2', version=9),
    line(200, 'server', server='s1', change='added'),
    line(210, 'server', server='s2', change='added'),
    line(300, 'store-lost', servers=2),
    line(500, 'attempt-sent', request='r1', attempt='r1.1', server='s1'),
    line(900, 'request-ended', request='r1', outcome='overloaded'),
    line(950, 'configuration', version=8),
]


class ExplainTest(unittest.TestCase):
    def explain(self, request, lines, prefix=''):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'log'
            path.write_text('\n'.join(prefix + each for each in lines))
            out, err = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(out):
                with contextlib.redirect_stderr(err):
                    status = explain_command.explain(request, path)
        return status, out.getvalue(), err.getvalue()

    def test_way_and_beliefs_with_their_age(self):
        status, text, _ = self.explain('r1', LINES)
        self.assertEqual(0, status)
        way, _, believed = text.partition('believed')
        self.assertIn('attempt-sent', way)
        self.assertIn('outcome=overloaded', way)
        self.assertRegex(believed, r'800 ms old .* version=7')
        self.assertRegex(believed, r'700 ms old .* server=s1')
        self.assertRegex(believed, r'600 ms old .* store-lost')

    def test_what_others_believed_or_later_is_left_out(self):
        _, text, _ = self.explain('r1', LINES)
        for absent in ('version=9', 'version=8', 'server=s2'):
            self.assertNotIn(absent, text)

    def test_lines_with_columns_of_a_collector(self):
        status, text, _ = self.explain('r1', LINES, '  12.5 edge-1 ')
        self.assertEqual(0, status)
        self.assertIn('outcome=overloaded', text)

    def test_unknown_request(self):
        status, _, error = self.explain('r9', LINES)
        self.assertEqual(2, status)
        self.assertIn('r9', error)

    def test_missing_file(self):
        with contextlib.redirect_stderr(io.StringIO()):
            status = explain_command.explain('r1', pathlib.Path('/no/such'))
        self.assertEqual(2, status)
