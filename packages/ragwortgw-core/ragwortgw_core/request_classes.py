"""Classifies requests by kind and prompt length, for quality estimates."""

import bisect

CLASS_BOUNDS_CHARS = (400, 2_000, 8_000)
CHAT_CLASSES = ('chat-short', 'chat-medium', 'chat-long', 'chat-huge')
SERVICE_CLASS = 'service'
#: Mean length of a token, for estimates.
CHARS_PER_TOKEN = 4


def classify(prompt_chars: int, kind: str) -> str:
    """Returns the class of a request.

    Args:
      prompt_chars: Length of the prompt, in characters.
      kind: 'chat' or 'service'.
    Returns: One of CHAT_CLASSES, or SERVICE_CLASS.
    """
    if kind == 'service':
        return SERVICE_CLASS
    return CHAT_CLASSES[bisect.bisect_left(CLASS_BOUNDS_CHARS, prompt_chars)]


def estimate_input_tokens(prompt_chars: int) -> int:
    """Estimates the tokens of a prompt from its length, rounded up."""
    return -(-prompt_chars // CHARS_PER_TOKEN)
