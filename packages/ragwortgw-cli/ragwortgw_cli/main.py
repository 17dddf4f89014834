"""The operators' command, ragwortgw."""

from collections.abc import Callable
import enum
import hashlib
import os
import pathlib
import secrets
import ssl
import sys
from typing import Literal

import defopt
from returns.result import Failure
import uuid_utils

from ragwortgw_cli import client
from ragwortgw_cli import explain_command
from ragwortgw_cli import preview_command
from ragwortgw_cli import rendering
from ragwortgw_cli import timeline_command
from ragwortgw_core import language
from ragwortgw_core import statements as statement_forms
from ragwortgw_server import clock
from ragwortgw_server import tls

DEFAULT_ENTRY = '127.0.0.1:8081'
KEY_VARIABLE = 'RAGWORTGW_OPERATOR_KEY'
ENTRIES_VARIABLE = 'RAGWORTGW_ENTRIES'
CA_VARIABLE = 'RAGWORTGW_ADMIN_TLS_CA'
KEY_BYTES = 24
BAD_ORDER_STATUS = 400
MS_PER_S = 1_000

Output = Literal['table', 'json']


class ExitStatus(enum.IntEnum):
    """Exit status of the command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4


def run(
    *text: str,
    entry: list[str] | None = None,
    file: pathlib.Path | None = None,
    output: Output = 'table',
    dry_run: bool = False,
    if_revision: int = 0,
    command_id: str = '',
    timeout_s: float = 15.0,
    ca: pathlib.Path | None = None,
) -> ExitStatus:
    """Runs statements of the query and command language.

    Exit status: 0 done, 1 refused, 2 bad statement or setting, 3 the
    outcome is not known, 4 no entry answered, nothing changed. The
    operator's key is read from RAGWORTGW_OPERATOR_KEY. 'ragwortgw help'
    lists the statements.

    Args:
      text: The statement; several words are joined by blanks.
      entry: Administration address of an entry, ip:port; may be repeated.
        RAGWORTGW_ENTRIES holds the default, separated by commas.
      file: File with one statement a line, run until one fails.
      output: table or json.
      dry_run: Show what an order would change, and change nothing.
      if_revision: Refuse the order if the revision is another one.
      command_id: Id of the order; give it again to repeat one safely.
      timeout_s: Time to wait for an answer, in s.
      ca: Authority (PEM) that the entries' certificates must prove; turns
        TLS on. RAGWORTGW_ADMIN_TLS_CA holds the default.
    """
    key = os.environ.get(KEY_VARIABLE, '')
    entries = entry or default_entries()
    authority = str(ca or os.environ.get(CA_VARIABLE, ''))
    statements = [' '.join(text)] if text else []
    try:
        if file is not None:
            statements += read_statements(file)
        context = tls.client_context(authority)
    except (OSError, UnicodeError) as error:
        named = ' or '.join(str(path) for path in (file, authority) if path)
        print(f'{named}: {error}', file=sys.stderr)
        return ExitStatus.USAGE
    if not key or not statements:
        missing = f'{KEY_VARIABLE} is not set' if not key else 'no statement'
        print(missing, file=sys.stderr)
        return ExitStatus.USAGE
    for statement in statements:
        command = client.Command(
            statement,
            command_id or str(uuid_utils.uuid7()),
            if_revision,
            dry_run,
        )
        status = run_one(entries, key, command, output, timeout_s, context)
        if status is not ExitStatus.DONE:
            return status
    return ExitStatus.DONE


def default_entries() -> list[str]:
    """Returns the entries named by the environment."""
    named = os.environ.get(ENTRIES_VARIABLE, DEFAULT_ENTRY)
    return [address for address in named.split(',') if address]


def read_statements(file: pathlib.Path) -> list[str]:
    """Reads statements, one a line; blank lines and # lines are skipped."""
    lines = [line.strip() for line in file.read_text().splitlines()]
    return [line for line in lines if line and not line.startswith('#')]


def run_one(
    entries: list[str],
    key: str,
    command: client.Command,
    output: Output,
    timeout_s: float,
    context: ssl.SSLContext | None = None,
) -> ExitStatus:
    """Sends one statement and shows the answer."""
    deadline_ms = clock.now_ms() + int(timeout_s * MS_PER_S)
    sent = client.send(entries, key, command, deadline_ms, context)
    if isinstance(sent, Failure):
        return show_lost(sent.failure(), is_query(command.text))
    answer = sent.unwrap()
    if output == 'json':
        print(rendering.as_json(answer.body))
    elif answer.status < BAD_ORDER_STATUS:
        print(rendering.as_text(answer.body))
    if answer.status < BAD_ORDER_STATUS:
        return ExitStatus.DONE
    if output == 'table':
        problem = rendering.as_problem(answer.body, command.text)
        print(problem, file=sys.stderr)
    if answer.status == BAD_ORDER_STATUS:
        return ExitStatus.USAGE
    return ExitStatus.REFUSED


def is_query(text: str) -> bool:
    """Tells whether a statement certainly changes nothing."""
    parsed = language.parse(text)
    if isinstance(parsed, Failure):
        return False
    return not isinstance(parsed.unwrap(), language.Order)


def show_lost(
    failure: client.Unreachable | client.Unknown, query: bool
) -> ExitStatus:
    """Tells that no answer came, and what that means."""
    if isinstance(failure, client.Unreachable):
        named = ', '.join(failure.entries)
        print(f'no entry reached: {named}', file=sys.stderr)
        return ExitStatus.UNREACHABLE
    if query:
        print('no answer; do the entries take TLS (--ca)?', file=sys.stderr)
        return ExitStatus.UNREACHABLE
    print(
        'no answer; the order may have been applied. Repeat it with'
        f' --command-id {failure.command_id}',
        file=sys.stderr,
    )
    return ExitStatus.UNKNOWN


def key() -> ExitStatus:
    """Makes a new random key; prints it with the hash to configure."""
    made = secrets.token_urlsafe(KEY_BYTES)
    print(f'key:  {made}')
    print(f'hash: {hashlib.sha256(made.encode()).hexdigest()}')
    return ExitStatus.DONE


def show_help() -> ExitStatus:
    """Lists the statements of the language with an example of each."""
    for form in statement_forms.STATEMENTS:
        print(f'{form.form}\n    role {form.role}: {form.example}')
    print(
        'Queries that tell more: show subjects, show statements,'
        ' show properties'
    )
    return ExitStatus.DONE


COMMANDS: dict[str, Callable[..., int]] = {
    'run': run,
    'help': show_help,
    'key': key,
    'timeline': timeline_command.timeline,
    'explain': explain_command.explain,
    'preview': preview_command.preview,
}


def main() -> None:
    """Runs the command line; the exit status is that of the command."""
    sys.exit(defopt.run(COMMANDS))


if __name__ == '__main__':
    main()
