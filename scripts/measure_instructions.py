"""Makes a table of instructions from the inclusive listings of callgrind_annotate, one for each size of the fleet."""
import math
import pathlib
import re
import sys

SIZES = [131, 263, 525, 1050, 2100]


def instructions(listing, plane):
    for line in listing.splitlines():
        if f"Greengage::{plane}::tick(" in line and "Implementation" not in line:
            return int(re.match(r"\s*([\d,]+)", line).group(1).replace(",", ""))
    raise SystemExit(f"no {plane}::tick in the listing")


def main():
    work = pathlib.Path(sys.argv[1])
    print("\n| workers | placement, million instructions | growth | wave, million instructions | growth |")
    print("| --- | --- | --- | --- | --- |")
    last = None
    for size in SIZES:
        listing = (work / f"{size}.txt").read_text()
        counts = [instructions(listing, plane) for plane in ("PlacementPlane", "MaintenancePlane")]
        cells = []
        for index, count in enumerate(counts):
            growth = math.log(count / last[1][index]) / math.log(size / last[0]) if last else 0
            cells += [f"{count / 1e6:.1f}", f"{growth:.2f}"]
        print(f"| {size} | " + " | ".join(cells) + " |")
        last = (size, counts)


main()
