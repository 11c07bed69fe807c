#!/usr/bin/env python3
"""Measures the idle cost of real daemons at several fleet sizes: CPU, memory, control traffic and platform reads.

    bench/daemon_slope.py > bench/results/daemon-slope.md
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tools"))
from experiment import metric  # noqa: E402
from fleet import Fleet, Service, call  # noqa: E402

SECONDS = 8
SIZES = [1, 2, 4, 8]
ZONES = ["a", "b", "c"]


def measure(per_zone):
    with Fleet(ZONES, per_zone, [Service("yard-desk", 20)]) as fleet:
        fleet.wait_members(3 * per_zone, 30)
        # Watches started before the membership was stable end within 10 s.
        time.sleep(13)
        cpu = [fleet.cpu_seconds(i.process) for i in fleet.instances]
        control = sum(metric(fleet, i, "control_bytes_out_total") for i in fleet.instances)
        reads = call(fleet.platform_port, "/v1/counts")[1]["reads"]
        time.sleep(SECONDS)
        count = len(fleet.instances)
        return {"daemons": count,
                "core": sum(fleet.cpu_seconds(i.process) - c for i, c in zip(fleet.instances, cpu)) / count / SECONDS,
                "rss": max(fleet.rss_megabytes(i.process) for i in fleet.instances),
                "control": (sum(metric(fleet, i, "control_bytes_out_total") for i in fleet.instances) - control) / count / SECONDS,
                "reads": (call(fleet.platform_port, "/v1/counts")[1]["reads"] - reads) / SECONDS}


def fit(points, key):
    """Fits a line over the number of daemons by least squares; returns intercept, slope and largest residual."""
    xs, ys = [p["daemons"] for p in points], [p[key] for p in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum((x - mean_x) ** 2 for x in xs)
    residual = max(abs(y - (mean_y + slope * (x - mean_x))) for x, y in zip(xs, ys))
    return mean_y - slope * mean_x, slope, residual


def main():
    points = [measure(n) for n in SIZES]
    print("# Idle cost of real daemons\n\nCommand: `bench/daemon_slope.py`; three zones, 40 servers, no callers, 8 s each.\n")
    print("| daemons | core a daemon | RSS MB | control B/s a daemon | platform reads/s, fleet |\n|---|---|---|---|---|")
    for p in points:
        print(f"| {p['daemons']} | {100 * p['core']:.2f}% | {p['rss']:.1f} | {p['control']:.0f} | {p['reads']:.2f} |")
    print("\n| quantity | at zero | for each daemon | largest residual |\n|---|---|---|---|")
    for key, name, scale in (("core", "core, %", 100), ("rss", "RSS, MB", 1), ("control", "control, B/s", 1), ("reads", "platform reads/s", 1)):
        at_zero, slope, residual = fit(points, key)
        print(f"| {name} | {scale * at_zero:.3f} | {scale * slope:.4f} | {scale * residual:.3f} |")


if __name__ == "__main__":
    main()
