"""Deterministic answers of the model engine and checks of them."""

import re

import xxhash

DIFFICULTY = re.compile(r'difficulty=([01](?:\.\d+)?)')
TOKENS = re.compile(r'tokens=(\d+)')
QUALITY = re.compile(r'\[[^\s\]]+ quality=([01](?:\.\d+)?)\]')
CHECKSUM = re.compile(r' sum=([0-9a-f]{16})$')

MIN_PIECES = 3
MIN_WORDS = 16
WORD_SPREAD = 48
CHARS_PER_TOKEN = 4
HASH_RANGE = 2.0**64
WORDS = (
    'band gate stage print ticket tier proof colour crowd early evening '
    'field festival wrist ink roll batch card lunch kitchen pupil balance '
    'parent school menu soup bread monday friday statement total'
).split()


def hash_share(*parts: str) -> float:
    """Returns a number in 0..1 that depends on the parts alone."""
    return xxhash.xxh3_64_intdigest('\0'.join(parts).encode()) / HASH_RANGE


def difficulty(prompt: str) -> float:
    """Returns the difficulty of a prompt, in 0..1.

    Args:
      prompt: The prompt; 'difficulty=0.7' in it decides, else its hash.
    Returns: The difficulty.
    """
    found = DIFFICULTY.search(prompt)
    if found is not None:
        return min(1.0, float(found[1]))
    return hash_share('difficulty', prompt)


def prompt_tokens(prompt: str) -> int:
    """Returns the number of tokens that a prompt counts for."""
    return len(prompt) // CHARS_PER_TOKEN + 1


def _piece_count(prompt: str, max_tokens: int) -> int:
    found = TOKENS.search(prompt)
    count = int(found[1]) if found is not None else 0
    if not count:
        count = MIN_WORDS + int(hash_share('tokens', prompt) * WORD_SPREAD)
    if max_tokens:
        count = min(count, max_tokens)
    return max(MIN_PIECES, count)


def _checksum(prompt: str, text: str) -> str:
    return xxhash.xxh3_64_hexdigest((prompt + '\0' + text).encode())


def compose(
    version: str, quality: float, prompt: str, max_tokens: int = 0
) -> list[str]:
    """Writes the answer of a version to a prompt.

    Args:
      version: Version id.
      quality: Quality of the version, in 0..1.
      prompt: The prompt.
      max_tokens: Limit on the pieces; 0 is none.
    Returns: The content pieces; the last one holds a checksum of the prompt
      and of all that goes before.
    """
    pieces = [f'[{version} quality={quality:.3f}]']
    count = _piece_count(prompt, max_tokens)
    state = xxhash.xxh3_64_intdigest((version + '\0' + prompt).encode())
    for _ in range(count - 2):
        state = (state * 6364136223846793005 + 1442695040888963407) % 2**64
        pieces.append(' ' + WORDS[(state >> 33) % len(WORDS)])
    pieces.append(f' sum={_checksum(prompt, "".join(pieces))}')
    return pieces


def is_whole(prompt: str, text: str) -> bool:
    """Returns whether a text is a whole answer to this very prompt."""
    found = CHECKSUM.search(text)
    if found is None:
        return False
    return found[1] == _checksum(prompt, text[: found.start()])


def read_quality(text: str) -> float | None:
    """Returns the quality marker of an answer, if it bears one."""
    found = QUALITY.search(text)
    return float(found[1]) if found is not None else None


def prompt_of(messages: list[dict]) -> str:
    """Joins the contents of chat messages to one prompt."""
    return '\n'.join(str(message.get('content', '')) for message in messages)
