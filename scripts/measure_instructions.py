"""Prints a table of instruction counts from inclusive listings of callgrind_annotate, one listing per fleet size."""
import math
import pathlib
import re
import sys

SIZES = [131, 263, 525, 1050, 2100]


def count_instructions(listing, plane):
    for line in listing.splitlines():
        if f"Greengage::{plane}::tick(" in line and "Implementation" not in line:
            return int(re.match(r"\s*([\d,]+)", line).group(1).replace(",", ""))
    raise SystemExit(f"no line with Greengage::{plane}::tick( in the output of callgrind_annotate")


def main():
    work = pathlib.Path(sys.argv[1])
    print("\n| workers | placement, million instructions | growth | wave, million instructions | growth |")
    print("| --- | --- | --- | --- | --- |")
    previous = None
    for size in SIZES:
        listing = (work / f"{size}.txt").read_text()
        counts = [count_instructions(listing, plane) for plane in ("PlacementPlane", "MaintenancePlane")]
        cells = []
        for index, count in enumerate(counts):
            growth = math.log(count / previous[1][index]) / math.log(size / previous[0]) if previous else 0
            cells += [f"{count / 1e6:.1f}", f"{growth:.2f}"]
        print(f"| {size} | " + " | ".join(cells) + " |")
        previous = (size, counts)


main()
