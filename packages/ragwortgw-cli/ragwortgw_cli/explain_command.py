"""The subcommand that explains what became of one request."""

from collections.abc import Iterable
import pathlib
import sys
from typing import Any, NamedTuple

from ragwortgw_cli import timeline_command
from ragwortgw_cli import timeline_merge
from ragwortgw_cli import timeline_text

ExitStatus = timeline_command.ExitStatus

#: Kinds of lines that tell what a process believes of the whole system.
SYSTEM_KINDS = ('configuration', 'store-lost', 'store-regained', 'stopping')
#: Kinds of lines that tell what it believes of one backend server.
SERVER_KINDS = ('server', 'server-suspended')
#: Kinds of lines that tell how far a roll-out is.
ROLLOUT_KINDS = ('rollout-ordered', 'rollout-phase', 'rollout-candidate-bad')


class Belief(NamedTuple):
    """The last line on a subject before a request, and its age."""

    line: timeline_merge.Line
    age_ms: int


def explain(request: str, *files: pathlib.Path) -> ExitStatus:
    """Shows one request's way, and what each process believed meanwhile.

    Args:
      request: Id of the request.
      files: Logs of any number of processes.
    """
    missing = [str(path) for path in files if not path.is_file()]
    if missing or not files:
        print(f'no such file: {", ".join(missing)}', file=sys.stderr)
        return ExitStatus.USAGE
    lines = timeline_merge.read(files).lines
    selection = timeline_merge.Selection(request=request)
    way = list(timeline_merge.select(lines, selection))
    if not way:
        print(f'no line names request {request}', file=sys.stderr)
        return ExitStatus.USAGE
    print(timeline_text.render(way))
    print()
    print('believed when its last line was written:')
    for belief in beliefs(lines, way):
        text = timeline_text.render([belief.line])
        print(f'  {belief.age_ms:>8} ms old  {text}')
    return ExitStatus.DONE


def beliefs(
    lines: Iterable[timeline_merge.Line], way: list[timeline_merge.Line]
) -> list[Belief]:
    """Finds what the processes on a request's way believed at its end.

    Args:
      lines: All lines, in order.
      way: The lines of the request.
    Returns: The last line on each subject that bears on the request, the
      oldest first.
    """
    processes = {line['process'] for line in way}
    servers = {line['fields'].get('server') for line in way} - {None}
    end = way[-1]
    last_by_subject: dict[Any, timeline_merge.Line] = {}
    for line in lines:
        if line['at_ms'] > end['at_ms']:
            break
        subject = _subject(line, servers)
        if line['process'] in processes and subject is not None:
            last_by_subject[line['process'], subject] = line
    found = [
        Belief(line, end['at_ms'] - line['at_ms'])
        for line in last_by_subject.values()
    ]
    return sorted(found, key=lambda belief: -belief.age_ms)


def _subject(line: timeline_merge.Line, servers: set[Any]) -> Any:
    """Names what a line is about, None if it does not matter here."""
    kind, fields = line['kind'], line['fields']
    if kind in SYSTEM_KINDS:
        return 'store' if kind.startswith('store') else kind
    if kind in SERVER_KINDS and fields.get('server') in servers:
        return kind, fields['server']
    if kind in ROLLOUT_KINDS:
        return kind, fields.get('service')
    return None
