#!/usr/bin/env python3
"""Writes docs/PROOFS.md: the page's text, the matrix' own table and, if given, the mutation table.

    tools/make_proofs.py [MUTATION-OUTPUT]
"""

import os
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PAGE = os.path.join(ROOT, "docs", "PROOFS.md")
MARK = "<!-- mutations -->"

with open(os.path.join(ROOT, "docs", "PROOFS.head.md"), encoding="utf-8") as head:
    text = head.read()
matrix = subprocess.run([os.path.join(ROOT, "build/limpettrestle-matrix"), "--proofs"], stdout=subprocess.PIPE, check=True).stdout.decode()
if len(sys.argv) > 1:
    with open(sys.argv[1], encoding="utf-8") as mutations:
        broken = "\n".join(line for line in mutations.read().splitlines() if line.startswith("|"))
else:
    with open(PAGE, encoding="utf-8") as page:
        broken = page.read().split(MARK)[1].strip()
with open(PAGE, "w", encoding="utf-8") as out:
    out.write(text.replace("@MATRIX@", matrix.strip()) + f"\n{MARK}\n{broken}\n{MARK}\n")
