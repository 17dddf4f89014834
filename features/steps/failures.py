"""Steps about the registry of failures."""

import behave

from ragwortgw_core import errors


@behave.given('the registry of failures')
def step_registry(context):
    context.failures_by_slug = errors.by_slug


@behave.then('each one has a status of 400 or above')
def step_statuses(context):
    assert context.failures_by_slug
    for failure in context.failures_by_slug.values():
        assert failure.status >= 400, failure
