"""Checks on what the stand-ins recorded, not on the router's own word."""

import base64
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from ragwortgw_core import requests
from ragwortgw_core import usage_page
from ragwortgw_fakes import answers
from ragwortgw_fakes import calls
from ragwortgw_fakes import system
from ragwortgw_fakes import traffic

Run = dict[str, Any]


class Violated(Exception):
    """What must always hold did not hold."""


def require(held: bool, what: str) -> None:
    """Raises Violated unless a condition holds."""
    if not held:
        raise Violated(what)


def runs(whole: system.System) -> list[Run]:
    """Returns all runs that the backend servers recorded."""
    return [
        run
        for backend in whole.backends_by_name.values()
        for run in backend.server.records()['runs']
    ]


def bills(whole: system.System) -> list[requests.Bill]:
    """Returns all bills that the platform service holds."""
    found = calls.call(
        whole.platform.address, 'GET', '/v1/values?prefix=usage/', {}, b''
    )
    lines: list[requests.Bill] = []
    for value in found.json()['values']:
        page = base64.b64decode(value['value'])
        read = usage_page.read_bills(value['key'], page)
        require(read is not None, f'damaged page {value["key"]}')
        check_totals(value['key'], page, read or [])
        lines += read or []
    return lines


def check_totals(key: str, page: bytes, lines: list[requests.Bill]) -> None:
    """The totals of a page are the sums of its lines."""
    content = usage_page.Codec().decode(page)
    require(content is not None, f'damaged page {key}')
    assert content is not None
    for organisation, totals in content['totals_by_organisation'].items():
        own = [line for line in lines if line.organisation == organisation]
        require(
            totals['requests'] == len(own)
            and totals['cost_micros'] == sum(each.cost_micros for each in own),
            f'{key}: totals of {organisation} are {totals}',
        )


def check_permitted(
    found: Iterable[Run], versions_by_organisation: Mapping[str, set[str]]
) -> None:
    """Each run was of a version that its organisation may use."""
    for run in found:
        allowed = versions_by_organisation.get(run['organisation'], set())
        require(
            run['version'] in allowed,
            f'{run["organisation"]} ran on {run["version"]}',
        )


def check_none_after(
    found: Iterable[Run], version: str, since_ms: int
) -> None:
    """No run of a version began after a time, Unix ms."""
    late = [
        run['begin_ms'] - since_ms
        for run in found
        if run['version'] == version and run['begin_ms'] > since_ms
    ]
    require(not late, f'{version} began runs {late} ms after the limit')


def check_at_most_once(found: Iterable[Run]) -> None:
    """No idempotency key has more than one run."""
    counts: dict[str, int] = {}
    for run in found:
        if run['idempotency_key'] and run['method'] != 'GET':
            key = run['idempotency_key']
            counts[key] = counts.get(key, 0) + 1
    doubled = {key: count for key, count in counts.items() if count > 1}
    require(not doubled, f'keys ran more than once: {doubled}')


def check_refusals_true(
    sent: Iterable[traffic.Sent], found: Iterable[Run]
) -> int:
    """No request that was refused as not run has a run.

    Returns: The number of such refusals.
    """
    ran = {run['request_id'] for run in found}
    refused = [each for each in sent if each.problem().get('ran') == 'no']
    wrong = [each.request_id for each in refused if each.request_id in ran]
    require(not wrong, f'refused as not run, but ran: {wrong}')
    return len(refused)


def check_whole(sent: Iterable[traffic.Sent]) -> None:
    """Each chat answer is the whole answer to its own prompt."""
    for each in sent:
        if each.ok and each.wanted.prompt and each.answer is not None:
            require(
                answers.is_whole(each.wanted.prompt, each.answer.text()),
                f'{each.request_id}: not its own whole answer',
            )


def check_billed_once(
    sent: Iterable[traffic.Sent], lines: list[requests.Bill]
) -> None:
    """Each answered request has one bill; replays have none.

    A replay, which carries no version, was billed with the first answer.
    """
    counts: dict[str, int] = {}
    for line in lines:
        counts[line.id] = counts.get(line.id, 0) + 1
    doubled = [name for name, count in counts.items() if count > 1]
    require(not doubled, f'billed twice: {doubled}')
    missing = [
        each.request_id
        for each in sent
        if each.ok and each.version and each.request_id not in counts
    ]
    require(not missing, f'answered but not billed: {missing}')


def check_bills_have_runs(
    lines: Iterable[requests.Bill], found: Iterable[Run]
) -> None:
    """Each bill belongs to a request that ran to its end."""
    done = {run['request_id'] for run in found if run['outcome'] == 'done'}
    idle = [line.id for line in lines if line.id not in done]
    require(not idle, f'billed, but never ran to the end: {idle}')


def check_sessions(sent: Iterable[traffic.Sent]) -> dict[str, str]:
    """Each session was served by one version only.

    Returns: The version of each session.
    """
    versions_by_session: dict[str, str] = {}
    for each in sent:
        session = dict(each.wanted.headers).get('Ragwortgw-Session')
        if not each.ok or session is None:
            continue
        first = versions_by_session.setdefault(session, each.version)
        require(
            first == each.version,
            f'session {session} moved from {first} to {each.version}',
        )
    return versions_by_session
