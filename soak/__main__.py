"""Command line of the soak test: ``python -m soak --seed 1 --count 50``."""

import collections
import pathlib
import sys

import typer

from . import run as runs


def main(
    seed: int = typer.Option(1, help="first seed"),
    count: int = typer.Option(1, help="seeds to run, one after another"),
    seconds: float = typer.Option(20.0, help="duration of each run, s"),
    hosts: int = typer.Option(6, help="hosts, each with a node process"),
    domains: int = typer.Option(3, help="failure domains"),
    older: str = typer.Option(
        "", help="directory of an older build for every second host"
    ),
    keep: str = typer.Option("", help="directory for logs of failed seeds"),
):
    """Run the seeds and print violated guarantees."""
    failed = []
    for number in range(seed, seed + count):
        run_records, violations, outputs = runs.run_seed(
            number,
            seconds=seconds,
            hosts=hosts,
            domains=domains,
            older=older or None,
        )
        statuses = collections.Counter(
            call.status for call in run_records.calls
        )
        print(
            f"seed {number}: {len(run_records.calls)} requests, statuses "
            f"{dict(statuses)}, {len(run_records.faults)} faults, "
            f"{run_records.early_ends} ended by a signal before their start, "
            f"{len(violations)} violations",
            flush=True,
        )
        for violation in violations[:20]:
            print(f"  {violation}", flush=True)
        if violations:
            failed.append(number)
            if keep:
                directory = pathlib.Path(keep) / f"seed-{number}"
                directory.mkdir(parents=True, exist_ok=True)
                for name, text in outputs.items():
                    (directory / name).write_text(text)
    print(f"{count} seeds, {len(failed)} with violations: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
