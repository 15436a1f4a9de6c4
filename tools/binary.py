"""Build the product as one file with pex, and measure it.

``python -m tools.binary`` writes ``dist/shallotbridge``. All packages come
from the environment that runs this tool; nothing is downloaded. With
``--measure`` it then starts one node from the file and prints what the file
unpacks, the memory of the node and the number of its child processes.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

import psutil

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "shallotbridge"
# Long enough for a first start that unpacks on a busy machine, s.
_READY_SECONDS = 60.0
_SETTLE_SECONDS = 3.0
_MEGABYTE = 1e6
# Required by typer, which works without them; they would unpack to 7 MB.
_EXCLUDED = (
    "markdown-it-py",
    "mdurl",
    "pygments",
    "rich",
)


def build(output):
    """Write the binary.

    Parameters
    ----------
    output : pathlib.Path

    Raises
    ------
    subprocess.CalledProcessError
        pex failed; its own message says why.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    environment = pathlib.Path(sys.prefix)
    with tempfile.TemporaryDirectory() as directory:
        sources = pathlib.Path(directory) / "sources"
        shutil.copytree(
            ROOT / "shallotbridge",
            sources / "shallotbridge",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        subprocess.run(
            [
                str(environment / "bin" / "pex"),
                f"--venv-repository={environment}",
                "--no-pypi",
                f"--requirement={ROOT / 'requirements.txt'}",
                f"--sources-directory={sources}",
                "--entry-point=shallotbridge.cli:main",
                "--venv",
                *(f"--exclude={name}" for name in _EXCLUDED),
                f"--output-file={output}",
            ],
            check=True,
        )


def measure(binary):
    """Start a node from the binary and print what it costs.

    The node has no platform, so the figures are of an idle node without a
    configuration.
    """
    with tempfile.TemporaryDirectory() as directory:
        unpacked = pathlib.Path(directory) / "pex"
        process = subprocess.Popen(
            [
                str(binary),
                "node",
                "--host-id=measure",
                "--address=127.77.0.1",
                "--failure-domain=cairo-1",
                "--service=showroom",
                "--platform-url=http://127.77.0.2:7500",
                f"--log-file={directory}/log",
            ],
            env=os.environ | {"PEX_ROOT": str(unpacked)},
        )
        try:
            _wait_listening(process, port=7403)
            time.sleep(_SETTLE_SECONDS)
            found = psutil.Process(process.pid)
            memory = found.memory_full_info()
            anonymous = sum(
                each.anonymous for each in found.memory_maps(grouped=True)
            )
            children = found.children(recursive=True)
            threads = found.num_threads()
        finally:
            process.terminate()
            status = process.wait(_READY_SECONDS)
        print(f"binary: {binary.stat().st_size / _MEGABYTE:.1f} MB")
        print(f"unpacked: {_size(unpacked) / _MEGABYTE:.1f} MB")
        print(f"resident: {memory.rss / _MEGABYTE:.1f} MB")
        print(f"unique: {memory.uss / _MEGABYTE:.1f} MB")
        print(f"anonymous: {anonymous / _MEGABYTE:.1f} MB")
        print(f"child processes: {len(children)}, threads: {threads}")
        print(f"exit status after SIGTERM: {status}")


def _wait_listening(process, *, port):
    found = psutil.Process(process.pid)
    end = time.monotonic() + _READY_SECONDS
    while time.monotonic() < end and process.poll() is None:
        ports = {each.laddr.port for each in found.net_connections()}
        if port in ports:
            return
        time.sleep(0.1)
    raise SystemExit("the node of the binary did not start; see above")


def _size(directory):
    """Return the bytes of all files, hard links counted once."""
    sizes_by_inode = {}
    for path in directory.rglob("*"):
        if path.is_file() and not path.is_symlink():
            found = path.stat()
            sizes_by_inode[found.st_ino] = found.st_size
    return sum(sizes_by_inode.values())


def main(arguments):
    """Build the binary; returns the exit status."""
    if shutil.which("pex", path=f"{sys.prefix}/bin") is None:
        print("pex is not installed in this environment")
        return 1
    build(OUTPUT)
    print(f"built {OUTPUT.relative_to(ROOT)}")
    if "--measure" in arguments:
        measure(OUTPUT)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
