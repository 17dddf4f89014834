"""Starts a system for each scenario that needs one, and always ends it."""

import behave
import parse

from ragwortgw_fakes import system

FAILURE_MARKS = ('reducer failed', 'effect ', 'Traceback')


@parse.with_pattern(r'[\w-]+')
def parse_name(text):
    """Reads the name of a process: one word."""
    return text


behave.register_type(Name=parse_name)


def before_scenario(context, scenario):
    context.system = None
    context.sent = []
    context.background = None


def after_scenario(context, scenario):
    if context.background is not None:
        context.background.stop()
    if context.system is None:
        return
    try:
        check_logs(context.system)
    finally:
        context.system.__exit__(None, None, None)


def check_logs(whole: system.System) -> None:
    """Fails a scenario whose processes logged a fault of their own."""
    for process in whole.group.processes:
        lines = process.stderr().splitlines()
        for number, line in enumerate(lines):
            if any(mark in line for mark in FAILURE_MARKS):
                excerpt = '\n'.join(lines[number : number + 30])
                raise AssertionError(f'{process.name}:\n{excerpt}')
