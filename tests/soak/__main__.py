"""Play the soak by hand: ``python -m tests.soak --seeds 1-50``."""

import pathlib
import sys
import tempfile

import click

from tests.soak.run import Options
from tests.soak.run import Verdict
from tests.soak.run import play
from tests.soak.run import start_apart

LINES_MAX = 12


def tell(options: Options, verdict: Verdict, work: pathlib.Path) -> None:
    """Print what a run came to; write the story of one that broke a promise."""
    state = "broken" if verdict.broken else "held"
    counts = " ".join(f"{k}={v}" for k, v in sorted(verdict.counts.items()))
    click.echo(
        f"seed={options.seed} {state} faults={len(verdict.story)} {counts} "
        f"recovered={verdict.recovered:.2f}"
    )
    if not verdict.broken:
        return
    for line in verdict.broken[:LINES_MAX]:
        click.echo(f"  {line}")
    click.echo(f"  {len(verdict.broken)} in all; logs in {work.name}")
    lines = [*verdict.story, *verdict.broken]
    (work / "story.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")


@click.command()
@click.option("--seeds", default="1-5", help="The first and last seed, as 1-50.")
@click.option("--seconds", default=15.0, help="Seconds of faults a seed.")
@click.option("--hosts", default=6, help="Entry hosts, a process each.")
@click.option("--callers", default=12, help="Callers.")
@click.option("--jobs", default=1, help="Seeds that are played at once.")
@click.option(
    "--keep", type=click.Path(path_type=pathlib.Path), help="Keeps logs here."
)
def main(
    seeds: str,
    seconds: float,
    hosts: int,
    callers: int,
    jobs: int,
    keep: pathlib.Path | None,
) -> None:
    """Play some seeds; exit with 1 if a promise was broken."""
    first, _, last = seeds.partition("-")
    failed = []
    with start_apart(jobs) as pool:
        runs = []
        for seed in range(int(first), int(last or first) + 1):
            work = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=keep))
            options = Options(seed, seconds, hosts, callers)
            runs.append((options, work, pool.submit(play, options, work)))
        for options, work, future in runs:
            verdict = future.result()
            tell(options, verdict, work)
            if verdict.broken:
                failed.append(options.seed)
    click.echo(f"failed={failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
