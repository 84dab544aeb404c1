"""Run the soak from the command line: ``python -m tests.soak --seeds 1-50``."""

import pathlib
import sys
import tempfile

import click

from tests.soak.run import Options
from tests.soak.run import Verdict
from tests.soak.run import run_soak
from tests.soak.run import start_isolated_pool

MAX_PRINTED_VIOLATIONS = 12


def print_verdict(options: Options, verdict: Verdict, work: pathlib.Path) -> None:
    """Print the verdict of a run; write the faults and violations of a failed one."""
    result = "broken" if verdict.violations else "held"
    counts = " ".join(f"{k}={v}" for k, v in sorted(verdict.counts.items()))
    click.echo(
        f"seed={options.seed} {result} faults={len(verdict.faults)} {counts} "
        f"recovered={verdict.recovered:.2f}"
    )
    if not verdict.violations:
        return
    for line in verdict.violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"  {line}")
    click.echo(f"  {len(verdict.violations)} violations in total; logs in {work.name}")
    lines = [*verdict.faults, *verdict.violations]
    (work / "story.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")


@click.command()
@click.option("--seeds", default="1-5", help="The first and last seed, as 1-50.")
@click.option("--seconds", default=15.0, help="Seconds of faults per seed.")
@click.option("--hosts", default=6, help="Entry hosts, one process each.")
@click.option("--callers", default=12, help="Callers.")
@click.option("--jobs", default=1, help="Seeds that run in parallel.")
@click.option(
    "--returns", is_flag=True, help="Let the store come back from older copies."
)
@click.option(
    "--keep", type=click.Path(path_type=pathlib.Path), help="Directory for the logs."
)
def main(
    seeds: str,
    seconds: float,
    hosts: int,
    callers: int,
    jobs: int,
    *,
    returns: bool,
    keep: pathlib.Path | None,
) -> None:
    """Run the soak for each seed; exit with status 1 on a violation."""
    first, _, last = seeds.partition("-")
    failed = []
    with start_isolated_pool(jobs) as pool:
        runs = []
        for seed in range(int(first), int(last or first) + 1):
            work = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=keep))
            options = Options(seed, seconds, hosts, callers, has_returns=returns)
            runs.append((options, work, pool.submit(run_soak, options, work)))
        for options, work, future in runs:
            verdict = future.result()
            print_verdict(options, verdict, work)
            if verdict.violations:
                failed.append(options.seed)
    click.echo(f"failed={failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
