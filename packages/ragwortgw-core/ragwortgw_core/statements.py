"""Forms of the operators' statements with examples, shown as help."""

from typing import NamedTuple


class Statement(NamedTuple):
    """A form of statement, the role that it requires, and an example."""

    form: str
    role: str
    example: str


STATEMENTS = (
    Statement(
        'show SUBJECT [where COLUMN = VALUE and ...] [by COLUMN, ...]'
        ' [order by COLUMN [desc]] [limit N]',
        'read',
        'show backends where zone = zone-a order by running desc',
    ),
    Statement(
        'explain request ID',
        'read',
        'explain request entry-1-20977f1b69af-16',
    ),
    Statement(
        'create KIND ID [PROPERTY VALUE[, VALUE]] ...',
        'administer',
        'create organisation litoral permits proof rate 50 burst 100',
    ),
    Statement(
        'set KIND ID PROPERTY VALUE[, VALUE] ...',
        'administer',
        'set cascade proof target 0.9',
    ),
    Statement('delete KIND ID', 'administer', 'delete cascade proof'),
    Statement(
        'permit ORGANISATION use NAME[, NAME]',
        'administer',
        'permit litoral use proof-small@v2',
    ),
    Statement(
        'forbid ORGANISATION use NAME[, NAME]',
        'administer',
        'forbid litoral use proof-small@v2',
    ),
    Statement(
        'rollout MODEL to VERSION from VERSION steps SHARE%[, SHARE%]',
        'operate',
        'rollout proof-small to v2 from v1 steps 10%, 50%, 100%',
    ),
    Statement('pause MODEL', 'operate', 'pause proof-small'),
    Statement('resume MODEL', 'operate', 'resume proof-small'),
    Statement(
        'withdraw VERSION [reason TEXT]',
        'operate',
        'withdraw proof-small@v2 reason "wrong prices"',
    ),
    Statement('reinstate VERSION', 'operate', 'reinstate proof-small@v2'),
    Statement(
        'drain BACKEND [reason TEXT]',
        'operate',
        'drain engine-1 reason "new disk"',
    ),
    Statement('undrain BACKEND', 'operate', 'undrain engine-1'),
)
