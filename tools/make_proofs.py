#!/usr/bin/env python3
"""Writes docs/PROOFS.md from docs/PROOFS.head.md, the table of limpettrestle-matrix --proofs and the mutation table.

    tools/make_proofs.py [MUTATION-OUTPUT]

MUTATION-OUTPUT is a file with the output of tools/mutate.py; without it the page keeps its mutation table.
"""

import os
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PAGE = os.path.join(ROOT, "docs", "PROOFS.md")
MUTATIONS_MARKER = "<!-- mutations -->"

with open(os.path.join(ROOT, "docs", "PROOFS.head.md"), encoding="utf-8") as head:
    template = head.read()
matrix_table = subprocess.run([os.path.join(ROOT, "build/limpettrestle-matrix"), "--proofs"], stdout=subprocess.PIPE, check=True).stdout.decode()
if len(sys.argv) > 1:
    with open(sys.argv[1], encoding="utf-8") as mutation_output:
        mutation_table = "\n".join(line for line in mutation_output.read().splitlines() if line.startswith("|"))
else:
    with open(PAGE, encoding="utf-8") as page:
        mutation_table = page.read().split(MUTATIONS_MARKER)[1].strip()
with open(PAGE, "w", encoding="utf-8") as out:
    out.write(template.replace("@MATRIX@", matrix_table.strip()) + f"\n{MUTATIONS_MARKER}\n{mutation_table}\n{MUTATIONS_MARKER}\n")
