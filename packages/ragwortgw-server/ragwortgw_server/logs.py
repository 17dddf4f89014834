"""Logging set-up: text or JSON lines on stderr."""

import logging
import sys

import msgspec

from ragwortgw_server import clock

TEXT_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def __init__(self, process_id: str) -> None:
        super().__init__()
        self._process_id = process_id

    def format(self, record: logging.LogRecord) -> str:
        """Formats a record.

        Args:
          record: The record; its attribute 'fields' is kept, if any.
        Returns: One line of JSON.
        """
        line = {
            'at_ms': clock.now_ms(),
            'process': self._process_id,
            'level': record.levelname.lower(),
            'logger': record.name,
            'message': record.getMessage(),
        }
        fields = getattr(record, 'fields', None)
        if fields:
            line['fields'] = fields
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class TextFormatter(logging.Formatter):
    """Formats a record as text, its fields behind the message."""

    def __init__(self) -> None:
        super().__init__(TEXT_FORMAT)

    def format(self, record: logging.LogRecord) -> str:
        """Formats a record.

        Args:
          record: The record; its attribute 'fields' is kept, if any.
        Returns: The text.
        """
        text = super().format(record)
        fields = getattr(record, 'fields', None)
        if not fields:
            return text
        pairs = ' '.join(f'{name}={value}' for name, value in fields.items())
        return f'{text} {pairs}'


def set_up(process_id: str, log_format: str, level: str) -> None:
    """Sets up logging of the process.

    Args:
      process_id: Id that each JSON line carries.
      log_format: 'text' or 'json'.
      level: Least severe level that is logged.
    """
    handler = logging.StreamHandler(sys.stderr)
    if log_format == 'json':
        handler.setFormatter(JsonFormatter(process_id))
    else:
        handler.setFormatter(TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def log_change(
    logger: logging.Logger, message: str, fields: dict[str, object]
) -> None:
    """Logs a change of state.

    Args:
      logger: The logger of the caller.
      message: Constant text.
      fields: What varies.
    """
    logger.info(message, extra={'fields': fields})
