"""Shows that each proof fails when the mechanism it proves is off."""

from concurrent import futures
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from typing import Any, NamedTuple

LIST = pathlib.Path('features/mutants.toml')
COPIED = ('packages', 'features')
RUN_TIMEOUT_S = 300


class Mutant(NamedTuple):
    """A mechanism switched off, and the proof that must then fail.

    Args:
      name: What is off.
      feature: Feature of the scenario, '' where a unit test is the proof.
      scenario: The scenario.
      package: Package of the unit test, '' where a scenario is the proof.
      test: The unit test, class or module.
      edits: (file, text, text instead); the file may name its package.
    """

    name: str
    feature: str
    scenario: str
    package: str
    test: str
    edits: tuple[tuple[str, str, str], ...]


class Verdict(NamedTuple):
    """What became of a mutant; detail holds the first failed step."""

    mutant: Mutant
    found: bool
    detail: str


class StaleMutant(Exception):
    """The text that a mutant replaces is no longer in its file."""


def read_mutants(path: pathlib.Path) -> list[Mutant]:
    """Reads the list of mutants."""
    document = tomllib.loads(path.read_text())
    return [
        Mutant(
            each['name'],
            each.get('feature', ''),
            each.get('scenario', ''),
            each.get('package', ''),
            each.get('test', ''),
            tuple(
                (edit['file'], edit['old'], edit['new'])
                for edit in each['edits']
            ),
        )
        for each in document['mutant']
    ]


def apply(mutant: Mutant, root: pathlib.Path) -> None:
    """Switches the mechanism off in a copy of the sources.

    Raises:
      StaleMutant: The sources changed since the mutant was written.
    """
    for name, old, new in mutant.edits:
        place = name if '/' in name else f'*/{name}'
        (path,) = root.glob(f'packages/*/{place}')
        text = path.read_text()
        if text.count(old) != 1:
            raise StaleMutant(f'{mutant.name}: {name}: {old!r}')
        path.write_text(text.replace(old, new))


def run(mutant: Mutant) -> Verdict:
    """Runs the scenario against the mutant."""
    with tempfile.TemporaryDirectory(prefix='mutant-') as directory:
        root = pathlib.Path(directory)
        for name in COPIED:
            shutil.copytree(name, root / name)
        apply(mutant, root)
        if mutant.test:
            return judge_test(mutant, run_test(mutant, root))
        return judge(mutant, run_scenario(mutant, root))


def run_scenario(
    mutant: Mutant, root: pathlib.Path
) -> subprocess.CompletedProcess[str]:
    """Runs one scenario on a copy of the sources."""
    arguments = (
        'behave',
        '--no-color',
        '--format',
        'plain',
        '--name',
        f'^{re.escape(mutant.scenario)}$',
        f'features/{mutant.feature}.feature',
    )
    return run_module(arguments, root, root)


def run_test(
    mutant: Mutant, root: pathlib.Path
) -> subprocess.CompletedProcess[str]:
    """Runs one unit test on a copy of the sources."""
    place = root / 'packages' / mutant.package
    return run_module(('unittest', mutant.test), place, root)


def run_module(
    arguments: tuple[str, ...], place: pathlib.Path, root: pathlib.Path
) -> subprocess.CompletedProcess[str]:
    """Runs a Python module on a copy of the sources.

    Args:
      arguments: The module and its arguments.
      place: Where it runs.
      root: The copy.
    """
    paths = [str(path) for path in sorted(root.glob('packages/*'))]
    environment: dict[str, Any] = {
        **os.environ,
        'PYTHONPATH': os.pathsep.join(paths),
    }
    return subprocess.run(
        [sys.executable, '-m', *arguments],
        cwd=place,
        env=environment,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )


def judge(mutant: Mutant, ended: subprocess.CompletedProcess[str]) -> Verdict:
    """Tells whether the scenario found the mutant, and by which step."""
    lines = ended.stdout.splitlines()
    failed = [
        line.strip()
        for line in lines
        if ' ... failed in ' in line or ' ... error in ' in line
    ]
    if ended.returncode and failed:
        return Verdict(mutant, True, failed[0])
    return Verdict(mutant, False, lines[-2] if len(lines) > 1 else '')


def judge_test(
    mutant: Mutant, ended: subprocess.CompletedProcess[str]
) -> Verdict:
    """Tells whether the unit test found the mutant, and which one did.

    A test that can't be loaded finds nothing.
    """
    lines = ended.stderr.splitlines()
    failed = [line for line in lines if line.startswith(('FAIL: ', 'ERROR: '))]
    loaded = not any('unittest.loader' in line for line in failed)
    if ended.returncode and failed and loaded:
        return Verdict(mutant, True, failed[0])
    return Verdict(mutant, False, lines[-1] if lines else '')


def main(*, only: str = '', at_once: int = 3) -> None:
    """Runs all mutants; fails if a proof passes with its mechanism off.

    Args:
      only: Run the mutants whose name contains this.
      at_once: Number of mutants run at a time.
    """
    chosen = [each for each in read_mutants(LIST) if only in each.name]
    with futures.ThreadPoolExecutor(at_once) as pool:
        verdicts = list(pool.map(run, chosen))
    for verdict in verdicts:
        state = 'found' if verdict.found else 'NOT FOUND'
        print(f'{state}: {verdict.mutant.name}: {verdict.detail}')
    if not all(verdict.found for verdict in verdicts):
        sys.exit(1)
