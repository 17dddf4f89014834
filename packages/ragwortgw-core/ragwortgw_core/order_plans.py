"""Checks operators' roles and computes the changes that orders make.

The planners of the individual verbs are in object_plans and rollout_plans.
"""

from typing import Any

from returns.result import Result

from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_core import errors
from ragwortgw_core import events
from ragwortgw_core import language
from ragwortgw_core import object_plans  # noqa: F401 - registers planners
from ragwortgw_core import plan_registry
from ragwortgw_core import rollout_plans  # noqa: F401 - registers planners

ROLE_RANKS = {'read': 0, 'operate': 1, 'administer': 2}
OPERATE_VERBS = frozenset(
    {
        'rollout',
        'pause',
        'resume',
        'withdraw',
        'reinstate',
        'drain',
        'undrain',
    }
)


def required_role(order: language.Order) -> documents.Role:
    """Returns the lowest role that may give an order."""
    return 'operate' if order.verb in OPERATE_VERBS else 'administer'


def check_role(
    role: documents.Role, required: documents.Role
) -> errors.Forbidden | None:
    """Returns a failure if a role is lower than the required one."""
    if ROLE_RANKS[role] >= ROLE_RANKS[required]:
        return None
    return errors.Forbidden(role, required)


def plan_changes(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    """Computes the changes that an order makes.

    Args:
      order: The parsed order.
      snapshot: The configuration that it is based on.
      stamp: Time and randomness.
    Returns: New documents by 'kind/id', None for a deleted one; or the
      failure that the order is refused with.
    """
    return plan_registry.planners_by_verb[order.verb](order, snapshot, stamp)
