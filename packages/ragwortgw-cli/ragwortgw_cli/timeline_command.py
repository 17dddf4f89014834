"""The subcommand that shows the time line."""

import enum
import pathlib
import sys

from ragwortgw_cli import timeline_merge
from ragwortgw_cli import timeline_svg
from ragwortgw_cli import timeline_text


class ExitStatus(enum.IntEnum):
    """Exit status of the subcommand."""

    DONE = 0
    USAGE = 2


def timeline(
    *files: pathlib.Path,
    request: str = '',
    session: str = '',
    rollout: str = '',
    command: str = '',
    kind: str = '',
    last: int = 0,
    svg: pathlib.Path | None = None,
) -> ExitStatus:
    """Merges time line files and shows their events.

    Args:
      files: Time line files of any number of processes.
      request: Show one request's way only.
      session: Show one session only.
      rollout: Show one roll-out only.
      command: Show one order only, by its command id.
      kind: Show events of one kind only.
      last: Show this many events at the end only; 0 shows all.
      svg: Write a drawing to this file instead of text.
    """
    missing = [str(path) for path in files if not path.is_file()]
    if missing or not files:
        print(f'no such file: {", ".join(missing)}', file=sys.stderr)
        return ExitStatus.USAGE
    read = timeline_merge.read(files)
    if read.bad:
        print(f'{read.bad} line(s) could not be read', file=sys.stderr)
    selection = timeline_merge.Selection(
        request, session, rollout, command, kind
    )
    lines = list(timeline_merge.select(read.lines, selection))[-last:]
    if svg is not None:
        svg.write_text(timeline_svg.render(lines))
        return ExitStatus.DONE
    print(timeline_text.render(lines))
    return ExitStatus.DONE
