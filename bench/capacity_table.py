#!/usr/bin/env python3
"""Formats the output of limpettrestle-capacity as Markdown tables with linear fits.

    build/limpettrestle-capacity | bench/capacity_table.py > bench/results/capacity.md
"""

import sys

FITS = {"control": ("members", ["core_percent", "heap_kb"]), "document": ("replicas", ["bytes", "patch_ms", "heap_kb"])}


# Fits a line by least squares; returns intercept, slope and largest residual.
def fit(points, x, y):
    xs, ys = [p[x] for p in points], [p[y] for p in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    slope = sum((a - mean_x) * (b - mean_y) for a, b in zip(xs, ys)) / sum((a - mean_x) ** 2 for a in xs)
    residual = max(abs(b - (mean_y + slope * (a - mean_x))) for a, b in zip(xs, ys))
    return mean_y - slope * mean_x, slope, residual


rows = {}
for line in sys.stdin:
    kind, *fields = line.split()
    rows.setdefault(kind, []).append({k: float(v) for k, v in (field.split("=") for field in fields)})
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
