"""Tests that statements in the documentation can be understood."""

import pathlib
import re
import unittest

from ragwortgw_core import language
from ragwortgw_core import order_plans
from ragwortgw_core import plan_registry
from ragwortgw_core import statements

ROOT = pathlib.Path(__file__).parents[3]
RUN = re.compile(r'^ +ragwortgw run (["\'])(.*?)\1', re.MULTILINE)
STAND_INS = {'$(openssl rand -hex 32)': 'ab' * 32, 'HASH': 'cd' * 32}


class DocumentationTest(unittest.TestCase):
    def test_statements_of_the_pages_parse(self):
        for page in ('README.md', 'docs/OPERATIONS.md'):
            found = RUN.findall((ROOT / page).read_text())
            self.assertGreater(len(found), 9, page)
            for _, text in found:
                for written, value in STAND_INS.items():
                    text = text.replace(written, value)
                with self.subTest(text):
                    language.parse(text).unwrap()

    def test_examples_of_the_help_parse_and_name_the_role(self):
        for form in statements.STATEMENTS:
            with self.subTest(form.example):
                parsed = language.parse(form.example).unwrap()
                role = 'read'
                if isinstance(parsed, language.Order):
                    role = order_plans.required_role(parsed)
                self.assertEqual(form.role, role)

    def test_help_has_every_verb(self):
        verbs = {form.form.split()[0] for form in statements.STATEMENTS}
        missing = plan_registry.planners_by_verb.keys() - verbs
        self.assertEqual(set(), missing)
