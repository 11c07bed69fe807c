#!/usr/bin/env python3
"""Checks of the repository: tests under a third of the code, pages of docs present, links good,
docs/PROOFS.md as the matrix prints it."""

import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PAGES = ["README.md", "KNOWN-RED.txt", "docs/DESIGN.md", "docs/PROOFS.md", "docs/CAPACITY.md", "docs/GLOSSARY.md",
         "docs/RESULT-CODES.md", "docs/OPERATIONS.md", "docs/INTERFACES.md"]
problems = []


def lines_of(files):
    total = 0
    for name in files:
        with open(os.path.join(ROOT, name), encoding="utf-8", errors="replace") as source:
            total += sum(1 for _ in source)
    return total


def check_share():
    out = subprocess.run(["git", "ls-files"], cwd=ROOT, stdout=subprocess.PIPE, check=True).stdout.decode().split()
    code = [f for f in out if re.search(r"\.(cpp|h)$", f) and ".capnp." not in f]
    tests = [f for f in code if f.startswith("tests/")]
    share = lines_of(tests) / lines_of(code)
    print(f"tests are {lines_of(tests)} of {lines_of(code)} lines, {100 * share:.0f}%")
    if share * 3 >= 1:
        problems.append("tests are a third of the code or more")


def check_pages():
    for page in PAGES:
        path = os.path.join(ROOT, page)
        if not os.path.exists(path):
            problems.append(f"missing: {page}")
            continue
        if not page.endswith(".md"):
            continue
        with open(path, encoding="utf-8") as text:
            for target in re.findall(r"\]\(([^)#:]+)\)", text.read()):
                if not os.path.exists(os.path.join(os.path.dirname(path), target)):
                    problems.append(f"{page}: link to {target} leads nowhere")


def check_proofs():
    made = subprocess.run([os.path.join(ROOT, "build/limpettrestle-matrix"), "--proofs"], stdout=subprocess.PIPE, check=True).stdout.decode()
    with open(os.path.join(ROOT, "docs/PROOFS.md"), encoding="utf-8") as page:
        if made.strip() not in page.read():
            problems.append("docs/PROOFS.md does not hold the table that limpettrestle-matrix --proofs prints")
    if " red |" in made:
        problems.append("the matrix has red cells")


check_share()
check_pages()
if not problems:
    check_proofs()
for problem in problems:
    print(problem)
print(f"{1 if not problems else 0} passed, {len(problems)} failed")
sys.exit(1 if problems else 0)
