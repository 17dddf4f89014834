"""Calls on the platform's key-value service and its answers."""

from typing import NamedTuple


#: Revision of a Put that is to be made whatever the key holds.
ANY_REVISION = -1


class Get(NamedTuple):
    """Reads one value."""

    key: str


class List(NamedTuple):
    """Reads all values whose key starts with a prefix."""

    prefix: str


class Put(NamedTuple):
    """Writes a value if the key still has the expected revision.

    revision 0 means that the key must not exist. A lease of '' keeps the
    value for ever; else the value goes when the lease lapses.
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
    """Waits until a key's revision exceeds the given one or time passes."""

    key: str
    revision: int
    wait_ms: int


class WatchPrefix(NamedTuple):
    """Waits until something under a prefix changes or time passes."""

    prefix: str
    revision: int
    wait_ms: int


class Grant(NamedTuple):
    """Takes or renews a lease."""

    lease: str
    ttl_ms: int


class Revoke(NamedTuple):
    """Ends a lease and deletes what hangs on it."""

    lease: str


class Hosts(NamedTuple):
    """Reads the lagging list of hosts."""


Call = Get | List | Put | Delete | Watch | WatchPrefix | Grant | Revoke | Hosts


class Found(NamedTuple):
    """A value with the revision that wrote it."""

    key: str
    value: bytes
    revision: int


class Absent(NamedTuple):
    """The key has no value (or, for a watch, did not change in time)."""

    key: str
    revision: int


class Listed(NamedTuple):
    """All values under a prefix; revision is 0 where it is not known."""

    prefix: str
    found: tuple[Found, ...]
    revision: int = 0


class Changes(NamedTuple):
    """What changed under a prefix, in order, up to a revision."""

    prefix: str
    changes: tuple[Found | Absent, ...]
    revision: int


class Compacted(NamedTuple):
    """The store forgot what changed since the revision asked for."""

    prefix: str


class Written(NamedTuple):
    """The write took effect at this revision."""

    key: str
    revision: int


class Conflict(NamedTuple):
    """The key had another revision; revision 0 means it is absent."""

    key: str
    value: bytes
    revision: int


class Granted(NamedTuple):
    """The lease lives until the deadline, Unix ms of this process.

    renewed tells that it is certainly the lease granted before, with all
    that hangs on it.
    """

    lease: str
    deadline_ms: int
    renewed: bool = False


class HostEntry(NamedTuple):
    """One line of the host list.

    role is 'entry' or 'agent'; address is 'ip:port' of its gRPC listener.
    """

    id: str
    role: str
    address: str
    zone: str
    region: str
    state: str


class HostList(NamedTuple):
    """The host list; it lags behind the truth."""

    hosts: tuple[HostEntry, ...]


class Unavailable(NamedTuple):
    """No answer came; maybe_done says whether a write may have happened."""

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
