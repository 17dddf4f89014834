"""A text stream that never blocks and leaves out what does not fit."""

import os

#: Text that waits for a slow reader.
MAX_PENDING_BYTES = 262_144


class BoundedStream:
    """Writes lines to a descriptor that may be slow.

    Attributes:
      lines_left_out: Lines that did not fit.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.lines_left_out = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Takes whole lines; all or nothing."""
        data = text.encode()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.lines_left_out += text.count('\n')
            return 0
        self._pending += data
        return len(text)

    def flush(self) -> None:
        """Writes as much as the reader takes now."""
        while self._pending:
            try:
                count = os.write(self._descriptor, self._pending)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.lines_left_out += self._pending.count(b'\n')
                self._pending.clear()
                return
            del self._pending[:count]

    def take_left_out(self) -> int:
        """Returns how many lines were left out since the last call."""
        lines, self.lines_left_out = self.lines_left_out, 0
        return lines

    def close(self) -> None:
        """Writes what the reader takes; the descriptor stays open."""
        self.flush()
