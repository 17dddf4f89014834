"""Tracks the reads of the documents that a new configuration head names.

A fetch belongs to one head. It lists the documents whose revision this
process does not hold and collects the results of the reads; it sends no
calls itself.
"""

from typing import NamedTuple

from ragwortgw_core import configuration
from ragwortgw_core import documents
from ragwortgw_core import platform

#: With more missing documents than this, one list call reads them all.
MAX_SINGLE_READS = 16


class FetchTag(NamedTuple):
    """Identifies the read of a document; path is '' for the list of all."""

    fetch_id: int
    path: str


class Read(NamedTuple):
    """A platform call that reads documents, with its tag."""

    tag: FetchTag
    call: platform.Call


class Fetch:
    """Collects the documents of one head that this process lacks.

    Args:
      fetch_id: Number that matches results to this fetch.
      found: The head value as returned by the platform service.
      head: The decoded head.
      held: Revisions of the documents already held, by path.
      read_by_key: Documents that an earlier fetch read, by platform key.
      sent_at_ms: When the read of the head was sent, Unix ms.
    """

    def __init__(
        self,
        fetch_id: int,
        found: platform.Found,
        head: documents.Head,
        held: dict[str, int],
        read_by_key: dict[str, bytes],
        sent_at_ms: int,
    ) -> None:
        self.fetch_id = fetch_id
        self.found = found
        self.head = head
        self.sent_at_ms = sent_at_ms
        self.values: dict[str, bytes] = {}
        self.missing = {
            path
            for path, revision in head['objects'].items()
            if held.get(path) != revision
        }
        self._pending_reads = 0
        for path in sorted(self.missing):
            if self._key(path) in read_by_key:
                self._store(path, read_by_key[self._key(path)])

    def reads(self) -> list[Read]:
        """Returns the calls that read the missing documents."""
        reads = [
            Read(FetchTag(self.fetch_id, path), platform.Get(self._key(path)))
            for path in sorted(self.missing)
        ]
        if len(reads) > MAX_SINGLE_READS:
            tag = FetchTag(self.fetch_id, '')
            reads = [Read(tag, platform.List(configuration.OBJECT_PREFIX))]
        self._pending_reads = len(reads)
        return reads

    def add_result(self, tag: FetchTag, result: platform.Result) -> bool:
        """Stores the result of a read.

        Args:
          tag: Tag of the read.
          result: Result of the call.
        Returns: Whether all reads of this fetch have been answered.
        """
        self._pending_reads -= 1
        if isinstance(result, platform.Found):
            self._store(tag.path, result.value)
        elif isinstance(result, platform.Listed):
            self._store_listed(result)
        return self._pending_reads == 0

    def read_by_key(self) -> dict[str, bytes]:
        """Returns the documents read so far, by platform key."""
        return {self._key(path): value for path, value in self.values.items()}

    def _store_listed(self, listed: platform.Listed) -> None:
        values_by_key = {found.key: found.value for found in listed.found}
        for path in sorted(self.missing):
            if self._key(path) in values_by_key:
                self._store(path, values_by_key[self._key(path)])

    def _key(self, path: str) -> str:
        return configuration.object_key(path, self.head['objects'][path])

    def _store(self, path: str, value: bytes) -> None:
        self.values[path] = value
        self.missing.discard(path)
