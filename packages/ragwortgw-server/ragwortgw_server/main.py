"""Command line of ragwortgwd: one subcommand for each role."""

from collections.abc import Callable
from collections.abc import Sequence
import importlib
import inspect
import logging
import os
import sys
from typing import Any, Optional

from returns.result import Success

from ragwortgw_server import logs
from ragwortgw_server import settings
from ragwortgw_server import settings_table

LOG = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2

#: Module of each role; it has run(settings) and is imported when needed.
MODULES_BY_ROLE = {
    'entry': 'ragwortgw_server.entry_process',
    'agent': 'ragwortgw_server.agent_process',
}

_LOADERS_BY_ROLE: dict[str, Callable[..., Any]] = {
    'entry': settings.load_entry,
    'agent': settings.load_agent,
}


def run_role(role: settings_table.Role, flags: dict[str, str | None]) -> int:
    """Runs a role until it stops.

    Args:
      role: 'entry' or 'agent'.
      flags: Texts given on the command line by setting name.
    Returns: Exit status.
    """
    loaded = _LOADERS_BY_ROLE[role](flags, os.environ)
    if not isinstance(loaded, Success):
        for fault in loaded.failure():
            print(settings.describe_fault(fault), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    in_force = loaded.unwrap()
    logs.set_up(in_force.id, in_force.log_format, in_force.log_level)
    logs.log_change(
        LOG,
        'starting',
        {
            'role': role,
            'id': in_force.id,
            'zone': in_force.zone,
            'off': '; '.join(settings.disabled_features(in_force)),
        },
    )
    importlib.import_module(MODULES_BY_ROLE[role]).run(in_force)
    return 0


def new_command(role: settings_table.Role) -> Callable[..., int]:
    """Builds the function that defopt turns into a subcommand.

    Args:
      role: The role that the subcommand runs.
    Returns: A function with one keyword for each setting of the role.
    """
    definitions = settings_table.definitions_of(role)

    def command(**flags: str | None) -> int:
        return run_role(role, flags)

    command.__name__ = role
    command.__doc__ = _docstring(role, definitions)
    command.__annotations__ = {d.name: Optional[str] for d in definitions}
    command.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
        [
            inspect.Parameter(
                definition.name,
                inspect.Parameter.KEYWORD_ONLY,
                default=None,
                annotation=Optional[str],
            )
            for definition in definitions
        ]
    )
    return command


def _docstring(
    role: str, definitions: Sequence[settings_table.Definition]
) -> str:
    lines = [f'Run the {role} process.', '']
    for definition in definitions:
        text = definition.description
        if definition.choices:
            text += ' One of: ' + ', '.join(definition.choices) + '.'
        if definition.unit:
            text += f' Unit: {definition.unit}.'
        default = definition.default
        text += ' Required.' if default is None else f' Default: "{default}".'
        lines.append(f':param {definition.name}: {text}')
    return '\n'.join(lines) + '\n'


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the command line.

    Without flags the parser of the command line is not loaded, which
    saves a tenth of the memory of a process.

    Args:
      argv: Arguments without the program's name; None: from the system.
    Returns: Exit status.
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    if arguments == ['entry']:
        return run_role('entry', {})
    if arguments == ['agent']:
        return run_role('agent', {})
    return _parse(arguments)


def _parse(arguments: list[str]) -> int:
    defopt = importlib.import_module('defopt')
    commands = {
        'entry': new_command('entry'),
        'agent': new_command('agent'),
    }
    return defopt.run(
        commands,
        argv=arguments,
        short={},
        show_defaults=False,
        argparse_kwargs={'prog': 'ragwortgwd'},
    )


if __name__ == '__main__':
    sys.exit(main())
