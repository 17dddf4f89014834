"""Calls to the platform's key-value service and their results.

The service keeps versioned values, with writes by compare-and-swap,
watches and leases, and a list of hosts that lags behind.

A service may be restored from an older copy of itself. It then loses what
was written since, and gives the same revisions out again. Such a service
counts its restores, in epochs. Clients put the epoch into the high bits of
each revision: whatever was read in a later epoch is newer, and revisions
of two epochs are never equal. The epoch of other services is 0.
"""

from typing import NamedTuple


#: Revision of an unconditional Put.
ANY_REVISION = -1
#: Bits of the service's own revision within a revision.
REVISION_BITS = 40


def revision_in_epoch(epoch: int, number: int) -> int:
    """Returns the revision of a value of one epoch.

    Args:
      epoch: Number of times that the service was restored.
      number: The service's own revision; 0, for no value, stays 0.
    """
    return (epoch << REVISION_BITS) + number if number else 0


def epoch_of(revision: int) -> int:
    """Returns the epoch in which a revision was read."""
    return max(0, revision) >> REVISION_BITS


def number_of(revision: int) -> int:
    """Returns the service's own number of a revision."""
    return revision & ((1 << REVISION_BITS) - 1) if revision > 0 else revision


class Get(NamedTuple):
    """Reads one value."""

    key: str


class List(NamedTuple):
    """Reads all values whose keys start with a prefix."""

    prefix: str


class Put(NamedTuple):
    """Writes a value if the key still has the expected revision.

    Args:
      key: The key.
      value: The new value.
      revision: Expected revision; 0 means that the key must not exist,
        ANY_REVISION makes the write unconditional.
      lease: The value is deleted when this lease expires; '' for none.
    """

    key: str
    value: bytes
    revision: int
    lease: str = ''


class Delete(NamedTuple):
    """Deletes a value if the key still has the expected revision."""

    key: str
    revision: int


class Watch(NamedTuple):
    """Waits until a key's revision exceeds the given one, or wait_ms."""

    key: str
    revision: int
    wait_ms: int


class WatchPrefix(NamedTuple):
    """Waits for a change under a prefix after a revision, or wait_ms."""

    prefix: str
    revision: int
    wait_ms: int


class Grant(NamedTuple):
    """Acquires or renews a lease."""

    lease: str
    ttl_ms: int


class Revoke(NamedTuple):
    """Ends a lease and deletes the values attached to it."""

    lease: str


class Hosts(NamedTuple):
    """Reads the host list, which lags behind the actual state."""


Call = Get | List | Put | Delete | Watch | WatchPrefix | Grant | Revoke | Hosts


class Found(NamedTuple):
    """A value and the revision at which it was written."""

    key: str
    value: bytes
    revision: int


class Absent(NamedTuple):
    """The key has no value, or for a watch did not change in time."""

    key: str
    revision: int


class Listed(NamedTuple):
    """All values under a prefix; revision is 0 if unknown."""

    prefix: str
    found: tuple[Found, ...]
    revision: int = 0


class Changes(NamedTuple):
    """Changes under a prefix in order, up to a revision."""

    prefix: str
    changes: tuple[Found | Absent, ...]
    revision: int


class Compacted(NamedTuple):
    """The changes since the requested revision are no longer stored."""

    prefix: str


class Written(NamedTuple):
    """The write took effect at this revision."""

    key: str
    revision: int


class Conflict(NamedTuple):
    """The key had another revision; revision 0 means that it is absent."""

    key: str
    value: bytes
    revision: int


class Granted(NamedTuple):
    """The lease is valid until the deadline.

    Args:
      lease: Id of the lease.
      deadline_ms: Expiry by the clock of this process, Unix ms.
      renewed: Whether this is certainly the lease granted before, with
        all values attached to it still in place.
    """

    lease: str
    deadline_ms: int
    renewed: bool = False


class HostEntry(NamedTuple):
    """One entry of the host list.

    Args:
      id: Id of the host.
      role: 'entry' or 'agent'.
      address: 'ip:port' of its gRPC listener.
      zone: Availability zone.
      region: Region.
      state: State that the platform gives, such as 'live'.
    """

    id: str
    role: str
    address: str
    zone: str
    region: str
    state: str


class HostList(NamedTuple):
    """The host list, which lags behind the actual state."""

    hosts: tuple[HostEntry, ...]


class Unavailable(NamedTuple):
    """No answer came; maybe_done is whether a write may have taken effect."""

    maybe_done: bool


Result = (
    Found
    | Absent
    | Listed
    | Changes
    | Compacted
    | Written
    | Conflict
    | Granted
    | HostList
    | Unavailable
)
