"""Play the soak by hand: ``python -m tests.soak --seeds 1-50``."""

import pathlib
import sys
import tempfile

import click

from tests.soak.run import Options
from tests.soak.run import Run

LINES_MAX = 12


@click.command()
@click.option("--seeds", default="1-5", help="The first and last seed, as 1-50.")
@click.option("--seconds", default=15.0, help="Seconds of faults a seed.")
@click.option("--hosts", default=6, help="Entry hosts, a process each.")
@click.option("--callers", default=12, help="Callers.")
@click.option(
    "--keep", type=click.Path(path_type=pathlib.Path), help="Keeps logs here."
)
def main(
    seeds: str, seconds: float, hosts: int, callers: int, keep: pathlib.Path | None
) -> None:
    """Play some seeds; exit with 1 if a promise was broken."""
    first, _, last = seeds.partition("-")
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        work = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=keep))
        options = Options(seed, seconds, hosts, callers)
        verdict = Run(options, work).play()
        state = "broken" if verdict.broken else "held"
        counts = " ".join(f"{k}={v}" for k, v in sorted(verdict.counts.items()))
        click.echo(
            f"seed={seed} {state} faults={len(verdict.story)} {counts} "
            f"recovered={verdict.recovered:.2f}"
        )
        if not verdict.broken:
            continue
        failed.append(seed)
        for line in verdict.broken[:LINES_MAX]:
            click.echo(f"  {line}")
        click.echo(f"  {len(verdict.broken)} in all; logs in {work.name}")
        story = work / "story.txt"
        lines = [*verdict.story, *verdict.broken]
        story.write_text("\n".join(lines) + "\n", encoding="utf-8")
    click.echo(f"failed={failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
