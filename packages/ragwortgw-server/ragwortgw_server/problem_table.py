"""Makes the table of problem types of the API documentation.

Run: python -m ragwortgw_server.problem_table
"""

from ragwortgw_core import errors

HEADINGS = ('Type', 'Status', 'Ran', 'Retry', 'Title')


def render() -> str:
    """Renders the problem types as a Markdown table, ordered by status."""
    lines = [
        '| ' + ' | '.join(HEADINGS) + ' |',
        '|---' * len(HEADINGS) + '|',
    ]
    found = sorted(
        errors.by_slug.items(), key=lambda item: (item[1].status, item[0])
    )
    lines += [render_row(slug, kind) for slug, kind in found]
    return '\n'.join(lines) + '\n'


def render_row(slug: str, kind: type[errors.Failure]) -> str:
    """Renders one problem type."""
    fields = getattr(kind, '_fields')
    ran = 'see body' if 'ran' in fields else kind.ran
    retry = 'yes' if 'retry_after_ms' in fields else 'no'
    return f'| `{slug}` | {kind.status} | {ran} | {retry} | {kind.title} |'


if __name__ == '__main__':
    print(render(), end='')
