"""Build a single-file executable with pex and measure it.

``python -m tools.binary`` writes ``dist/shallotbridge``. All packages come
from the environment that runs this tool; nothing is downloaded. With
``--measure`` it then starts one node from the file and prints the unpacked
size, the memory use of the node and the number of its child processes.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
import zipfile

import psutil

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "shallotbridge"
# Timeout of the first start, which unpacks the file, on a busy machine.
_READY_TIMEOUT_SECONDS = 60.0
_SETTLE_SECONDS = 3.0
_MEGABYTE = 1e6
# Declared dependencies of typer that it works without; 7 MB unpacked.
_EXCLUDED_PACKAGES = (
    "markdown-it-py",
    "mdurl",
    "pygments",
    "rich",
)
# Parts of paths of files that are not used at run time.
_UNUSED_DIRECTORIES = ("/tests/", "/_tests/", "/benchmarks/", "/sboms/")
_UNUSED_SUFFIXES = (".pyi", ".pyx", ".pxd", ".c", ".h")


def build(output):
    """Build the executable.

    Parameters
    ----------
    output : pathlib.Path

    Raises
    ------
    subprocess.CalledProcessError
        pex failed; its output gives the reason.
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
                *(f"--exclude={name}" for name in _EXCLUDED_PACKAGES),
                f"--output-file={output}",
            ],
            check=True,
        )
        _reduce(output, pathlib.Path(directory))


def _reduce(output, directory):
    """Remove unused files, and strip symbols from shared libraries."""
    reduced = directory / "reduced"
    library = directory / "library.so"
    with zipfile.ZipFile(output) as source, reduced.open("wb") as target:
        first = min(entry.header_offset for entry in source.infolist())
        # The bytes before the archive are the interpreter line.
        target.write(output.read_bytes()[:first])
        with zipfile.ZipFile(target, "a", zipfile.ZIP_DEFLATED) as result:
            for entry in source.infolist():
                content = source.read(entry)
                if _is_unused(entry.filename):
                    continue
                if entry.filename.endswith(".so"):
                    library.write_bytes(content)
                    subprocess.run(
                        ["strip", "--strip-unneeded", library], check=True
                    )
                    content = library.read_bytes()
                if entry.filename.endswith(".dist-info/RECORD"):
                    content = _reduce_record(content)
                result.writestr(entry, content)
    reduced.chmod(output.stat().st_mode)
    shutil.move(reduced, output)


def _reduce_record(content):
    """Remove the unused files from the RECORD of a package.

    pex warns at each start of files that a RECORD lists and that are missing.
    """
    lines = content.decode().splitlines(keepends=True)
    kept = [line for line in lines if not _is_unused(line.split(",")[0])]
    return "".join(kept).encode()


def _is_unused(name):
    return name.endswith(_UNUSED_SUFFIXES) or any(
        part in name for part in _UNUSED_DIRECTORIES
    )


def measure(binary):
    """Start a node from the executable and print its resource use.

    The node has no platform, so the figures are those of an idle node without
    a configuration.
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
            node = psutil.Process(process.pid)
            memory = node.memory_full_info()
            anonymous = sum(
                each.anonymous for each in node.memory_maps(grouped=True)
            )
            children = node.children(recursive=True)
            threads = node.num_threads()
        finally:
            process.terminate()
            status = process.wait(_READY_TIMEOUT_SECONDS)
        print(f"binary: {binary.stat().st_size / _MEGABYTE:.1f} MB")
        print(f"unpacked: {_total_bytes(unpacked) / _MEGABYTE:.1f} MB")
        print(f"resident: {memory.rss / _MEGABYTE:.1f} MB")
        print(f"unique: {memory.uss / _MEGABYTE:.1f} MB")
        print(f"anonymous: {anonymous / _MEGABYTE:.1f} MB")
        print(f"child processes: {len(children)}, threads: {threads}")
        print(f"exit status after SIGTERM: {status}")


def _wait_listening(process, *, port):
    node = psutil.Process(process.pid)
    end = time.monotonic() + _READY_TIMEOUT_SECONDS
    while time.monotonic() < end and process.poll() is None:
        ports = {each.laddr.port for each in node.net_connections()}
        if port in ports:
            return
        time.sleep(0.1)
    raise SystemExit("the node did not start listening; see its output above")


def _total_bytes(directory):
    """Return the total size of all files, with hard links counted once."""
    sizes_by_inode = {}
    for path in directory.rglob("*"):
        if path.is_file() and not path.is_symlink():
            found = path.stat()
            sizes_by_inode[found.st_ino] = found.st_size
    return sum(sizes_by_inode.values())


def main(arguments):
    """Build the executable; return the exit status."""
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
