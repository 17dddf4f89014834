"""Runs one stand-in or tool by name."""

import importlib
import sys

import defopt

NAMES = (
    'agents',
    'cable',
    'capacity',
    'demo',
    'engine',
    'golden',
    'entries',
    'gateway_capacity',
    'load',
    'measure',
    'mixed',
    'mutants',
    'platform',
    'rater',
    'service',
    'unit',
    'weights',
)
USAGE_STATUS = 2


def main() -> None:
    """Imports the named module and runs its main function."""
    if len(sys.argv) < 2 or sys.argv[1] not in NAMES:
        sys.stderr.write(f'usage: ragwortgw_fakes {{{"|".join(NAMES)}}}\n')
        sys.exit(USAGE_STATUS)
    module = importlib.import_module(f'ragwortgw_fakes.{sys.argv[1]}')
    defopt.run(module.main, argv=sys.argv[2:])


if __name__ == '__main__':
    main()
