#!/usr/bin/env python3
"""Turns the output of limpettrestle-capacity into tables with fitted lines.

    build/limpettrestle-capacity | bench/capacity_table.py > bench/results/capacity.md
"""

import sys

FITS = {"control": ("members", ["core_percent", "heap_kb"]), "document": ("replicas", ["bytes", "patch_ms", "heap_kb"])}


def fit(points, x, y):
    xs, ys = [p[x] for p in points], [p[y] for p in points]
    mx, my = sum(xs) / len(xs), sum(ys) / len(ys)
    slope = sum((a - mx) * (b - my) for a, b in zip(xs, ys)) / sum((a - mx) ** 2 for a in xs)
    residual = max(abs(b - (my + slope * (a - mx))) for a, b in zip(xs, ys))
    return my - slope * mx, slope, residual


rows = {}
for line in sys.stdin:
    kind, *pairs = line.split()
    rows.setdefault(kind, []).append({k: float(v) for k, v in (pair.split("=") for pair in pairs)})
print("# Slopes of the decision library\n\nCommand: `build/limpettrestle-capacity | bench/capacity_table.py`\n")
for kind, points in rows.items():
    names = list(points[0])
    print(f"## {kind}\n\n| {' | '.join(names)} |\n|{'---|' * len(names)}")
    for point in points:
        print(f"| {' | '.join(f'{point[n]:g}' for n in names)} |")
    print()
    if kind in FITS:
        x, ys = FITS[kind]
        print(f"| fitted line | at zero | for each of {x} | largest residual |\n|---|---|---|---|")
        for y in ys:
            print(f"| {y} | {' | '.join(f'{v:.4g}' for v in fit(points, x, y))} |")
        print()
