#!/usr/bin/env python3
"""Checks of the repository: pages of docs present, links good, docs/PROOFS.md as the matrix prints it."""

import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PAGES = ["README.md", "KNOWN-RED.txt", "docs/DESIGN.md", "docs/PROOFS.md", "docs/CAPACITY.md", "docs/GLOSSARY.md",
         "docs/RESULT-CODES.md", "docs/OPERATIONS.md", "docs/INTERFACES.md", "docs/GATEWAY.md", "docs/incidents/README.md"]
problems = []


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


check_pages()
if not problems:
    check_proofs()
for problem in problems:
    print(problem)
print(f"{1 if not problems else 0} passed, {len(problems)} failed")
sys.exit(1 if problems else 0)
