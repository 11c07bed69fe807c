#!/usr/bin/env python3
"""Prints docs/RESULT-CODES.md from the table in src/result_codes.cpp."""

import os
import re

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROW = re.compile(r'ResultCodeInfo \{ RC::(\w+), "(\w+)", "([^"]*)", (\d+) \}')
ENUM = re.compile(r"^\s+(\w+) = (\d+),", re.M)

with open(os.path.join(ROOT, "include/limpettrestle/result_codes.h"), encoding="utf-8") as header:
    NUMBERS = dict(ENUM.findall(header.read()))
with open(os.path.join(ROOT, "src/result_codes.cpp"), encoding="utf-8") as source:
    ROWS = ROW.findall(source.read())

print("# Result codes\n")
print("Source: `include/limpettrestle/result_codes.h`. Made by `tools/result_codes.py`; a test compares this page")
print("with the code. Families: 0 done, 1xx bad input, 2xx not run, 3xx partial, 4xx unknown, 5xx configuration,")
print("6xx settings, 7xx replies and messages, 8xx tools and platform.\n")
print("The HTTP status is the one that an answer with this code has; codes that only occur as a shard's reason or in")
print("logs have one too.\n")
print("| code | name | HTTP | meaning |\n|---|---|---|---|")
for identifier, name, meaning, status in ROWS:
    print(f"| {NUMBERS[identifier]} | `{name}` | {status} | {meaning} |")
