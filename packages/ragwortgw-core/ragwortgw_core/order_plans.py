"""Judges and plans operators' orders."""

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
    """Returns the role that an operator needs for an order."""
    return 'operate' if order.verb in OPERATE_VERBS else 'administer'


def check_role(
    role: documents.Role, needed: documents.Role
) -> errors.Forbidden | None:
    """Returns the failure when a role does not reach the one needed."""
    if ROLE_RANKS[role] >= ROLE_RANKS[needed]:
        return None
    return errors.Forbidden(role, needed)


def plan_changes(
    order: language.Order,
    snapshot: configuration.Snapshot,
    stamp: events.Stamp,
) -> Result[plan_registry.Changes, Any]:
    """Computes what an order changes.

    Args:
      order: The order as parsed.
      snapshot: The configuration it is based on.
      stamp: Time and randomness.
    Returns: New documents by 'kind/id', None for one that goes; or the
      failure that refuses the order.
    """
    return plan_registry.planners_by_verb[order.verb](order, snapshot, stamp)
