"""Runs the measurements of section 11 of the design page (``make bench``)."""

import argparse
import datetime
import json
import os
import pathlib
import platform
import sys
import time

import psutil

from . import control
from . import convergence
from . import fleet
from . import latency
from . import moves
from . import processes
from . import simulation
from . import startup

MEASUREMENTS_BY_NAME = {
    "convergence": convergence.run,
    "latency": latency.run,
    "moves": moves.run,
    "control": control.run,
    "startup": startup.run,
    "simulation": simulation.run,
}


def describe_machine():
    """Return properties of the machine and run that affect the figures."""
    return {
        "cores": os.cpu_count(),
        "memory_gib": round(psutil.virtual_memory().total / 2**30),
        "python": platform.python_version(),
        "date": datetime.datetime.now().isoformat(timespec="seconds"),
        "load_average": os.getloadavg()[0],
    }


def main():
    """Run the selected measurements and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", choices=MEASUREMENTS_BY_NAME, action="append", default=[]
    )
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--network", help="prefix such as 127.20; an unused one by default"
    )
    parser.add_argument(
        "--octet", type=int, default=0, help="lowest third octet of addresses"
    )
    parser.add_argument("--output", type=pathlib.Path)
    arguments = parser.parse_args()
    results = {"machine": describe_machine(), "seed": arguments.seed}
    print(f"seed {arguments.seed}, {results['machine']}", flush=True)
    with processes.running_processes() as process_manager:
        options = fleet.Options(
            process_manager=process_manager,
            prefix=arguments.network or processes.find_free_network(),
            octet=arguments.octet,
            seed=arguments.seed,
            is_quick=arguments.quick,
        )
        for name in arguments.only or MEASUREMENTS_BY_NAME:
            started_at = time.monotonic()
            load_average = os.getloadavg()[0]
            results[name] = {"rows": MEASUREMENTS_BY_NAME[name](options)}
            results[name]["seconds"] = time.monotonic() - started_at
            results[name]["load_averages"] = [load_average, os.getloadavg()[0]]
            print(
                f"{name}: {results[name]['seconds']:.0f} s, load average "
                f"{load_average:.1f} before, {os.getloadavg()[0]:.1f} after",
                flush=True,
            )
            if arguments.output:
                arguments.output.write_text(json.dumps(results, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
