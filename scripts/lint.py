"""Runs clang-tidy on source files in parallel and caches the digests of inputs without findings."""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys


def preprocessed_digest(entry, root):
    command = [part for part in shlex.split(entry["command"]) if not part.endswith("ccache")]
    output = command.index("-o")
    del command[output:output + 2]
    command.remove("-c")
    text = subprocess.run(command + ["-E", "-P", "-C"], cwd=entry["directory"], capture_output=True, check=True).stdout
    config = (root / ".clang-tidy").read_bytes()
    return hashlib.sha256(config + text).hexdigest()


def lint_file(entry, build, root, cache):
    digest = preprocessed_digest(entry, root)
    marker = cache / digest
    if marker.exists():
        return entry["file"], True, ""
    result = subprocess.run(["clang-tidy", "--quiet", "-p", str(build), entry["file"]], capture_output=True, text=True)
    if result.returncode == 0:
        marker.touch()
    return entry["file"], result.returncode == 0, result.stdout


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    build = (root / sys.argv[1]).resolve()
    requested = {str(pathlib.Path(name).resolve()) for name in sys.argv[2:]}
    home = os.environ.get("XDG_CACHE_HOME") or os.path.join(os.path.expanduser("~"), ".cache")
    cache = pathlib.Path(home) / "greengage-lint"
    cache.mkdir(parents=True, exist_ok=True)
    entries = {entry["file"]: entry for entry in json.loads((build / "compile_commands.json").read_text())}
    selected = [entry for name, entry in sorted(entries.items()) if not requested or name in requested]
    failed = 0
    jobs = int(os.environ.get("JOBS", os.cpu_count()))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for name, clean, text in pool.map(lambda entry: lint_file(entry, build, root, cache), selected):
            if not clean:
                failed += 1
                print(text)
    print(f"lint: {len(selected)} files, {failed} with findings")
    return 1 if failed else 0


sys.exit(main())
