"""Runs the Boost.Test programs listed by the build and counts passed and failed test cases.

A failure of a case that is listed in KNOWN-RED.txt is printed but does not fail the run. Any other failure does.
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
    """Runs one test program and returns the names of the passed and of the failed cases."""
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
            has_failed = case.find("failure") is not None or case.find("error") is not None
            (failed if has_failed else passed).append(full)
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
    passed, failed, known_failures = 0, 0, []
    for name in programs:
        passed_cases, failed_cases = run_program(build, name)
        passed += len(passed_cases)
        for case in failed_cases:
            if case in known_red:
                known_failures.append(case)
                continue
            failed += 1
            print(f"FAILED {case}", flush=True)
        print(f"{name}: {len(passed_cases)} passed, {len(failed_cases)} failed", flush=True)
    for case in known_failures:
        print(f"KNOWN RED {case}")
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


sys.exit(main())
