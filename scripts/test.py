"""Runs the Boost.Test programs listed by the build and counts test cases.

A case named in KNOWN-RED.txt may fail without failing the run; it is printed. Every other failure fails the run.
"""
import os
import pathlib
import subprocess
import sys
import xml.etree.ElementTree as ElementTree

PROGRAM_TIMEOUT_S = 900


def read_known_red(root):
    names = set()
    for line in (root / "KNOWN-RED.txt").read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            names.add(line.split("|")[0].strip())
    return names


def run_program(build, name):
    """Returns the names of the cases that passed and of those that failed."""
    report = build / f"{name}.xml"
    report.unlink(missing_ok=True)
    command = [str(build / "bin" / name), f"--logger=JUNIT,warning,{report}", "--logger=HRF,error,stdout", "--no_color_output"]
    try:
        completed = subprocess.run(command, timeout=PROGRAM_TIMEOUT_S, stdin=subprocess.DEVNULL)
        code = completed.returncode
    except subprocess.TimeoutExpired:
        code = "timeout"
    passed, failed = [], []
    if report.exists():
        try:
            cases = list(ElementTree.parse(report).getroot().iter("testcase"))
        except ElementTree.ParseError:
            cases = []
        for case in cases:
            full = f"{name}/{case.get('classname')}/{case.get('name')}".replace(".", "/")
            bad = case.find("failure") is not None or case.find("error") is not None
            (failed if bad else passed).append(full)
    if code != 0 and not failed:
        failed.append(f"{name}/exit-{code}")
    if not passed and not failed:
        failed.append(f"{name}/ran-no-test")
    return passed, failed


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    build = (root / sys.argv[1]).resolve()
    programs = sys.argv[2:] or (build / "tests.list").read_text().split()
    known_red = read_known_red(root)
    passed, failed, red = 0, 0, []
    for name in programs:
        good, bad = run_program(build, name)
        passed += len(good)
        for case in bad:
            if case in known_red:
                red.append(case)
                continue
            failed += 1
            print(f"FAILED {case}", flush=True)
        print(f"{name}: {len(good)} passed, {len(bad)} failed", flush=True)
    for case in red:
        print(f"KNOWN RED {case}")
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


sys.exit(main())
