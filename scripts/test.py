"""Runs the Boost.Test programs listed by the build and counts passed and failed test cases.

A failure of a case that is listed in KNOWN-RED.txt is printed but does not fail the run. Any other failure does.
Programs of different lanes run at the same time. Those of one lane may share loopback addresses and run one by one.
Programs that press processes to their limits run after all others, one by one.
"""
import concurrent.futures
import os
import pathlib
import subprocess
import sys
import threading
import xml.etree.ElementTree as ElementTree

PROGRAM_TIMEOUT_S = 900
# Programs that neither listen on an address nor start a process.
IN_PROCESS = {"core_tests", "config_tests", "metrics_tests", "fleet_tests", "jobs_tests", "coordinator_tests", "checker_tests",
              "loop_tests", "takeover_tests"}
# Programs whose crowds of clients would disturb other programs.
ALONE = {"platform_crowds", "daemon_crowds"}


def lane_of(name):
    if name in IN_PROCESS:
        return "in-process"
    return "platform" if name.startswith("platform_") else "site"


def read_known_red(root):
    names = set()
    for line in (root / "KNOWN-RED.txt").read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            names.add(line.split("|")[0].strip())
    return names


def run_program(build, name):
    """Runs one test program and returns its output and the names of the passed and of the failed cases."""
    report = build / f"{name}.xml"
    report.unlink(missing_ok=True)
    command = [str(build / "bin" / name), f"--logger=JUNIT,warning,{report}", "--logger=HRF,error,stdout", "--no_color_output"]
    output = build / f"{name}.log"
    with output.open("w") as log:
        try:
            completed = subprocess.run(command, timeout=PROGRAM_TIMEOUT_S, stdin=subprocess.DEVNULL, stdout=log,
                                       stderr=subprocess.STDOUT)
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
    return output.read_text(errors="replace"), passed, failed


def run_lane(build, names, report):
    for name in names:
        report(name, *run_program(build, name))


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    build = (root / sys.argv[1]).resolve()
    programs = sys.argv[2:] or (build / "tests.list").read_text().split()
    known_red = read_known_red(root)
    passed, failed, known_failures = 0, 0, []
    lock = threading.Lock()

    def report(name, output, passed_cases, failed_cases):
        nonlocal passed, failed
        with lock:
            print(output, end="")
            passed += len(passed_cases)
            for case in failed_cases:
                if case in known_red:
                    known_failures.append(case)
                    continue
                failed += 1
                print(f"FAILED {case}", flush=True)
            print(f"{name}: {len(passed_cases)} passed, {len(failed_cases)} failed", flush=True)

    lanes = {}
    for name in programs:
        if name in ALONE:
            continue
        lanes.setdefault(lane_of(name), []).append(name)
    with concurrent.futures.ThreadPoolExecutor(max(1, len(lanes))) as pool:
        runs = [pool.submit(run_lane, build, names, report) for names in lanes.values()]
    for run in runs:
        run.result()
    run_lane(build, [name for name in programs if name in ALONE], report)
    for case in known_failures:
        print(f"KNOWN RED {case}")
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


sys.exit(main())
