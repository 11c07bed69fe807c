#!/usr/bin/env python3
"""Checks the repository: the docs exist, their links resolve, the code still uses every outer name, docs/PROOFS.md is current."""

import ast
import glob
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PAGES = ["README.md", "KNOWN-RED.txt", "docs/DESIGN.md", "docs/PROOFS.md", "docs/CAPACITY.md", "docs/GLOSSARY.md",
         "docs/RESULT-CODES.md", "docs/OPERATIONS.md", "docs/INTERFACES.md", "docs/GATEWAY.md", "docs/incidents/README.md"]
# Code that writes or reads outer names: names that other processes, files or operators use. Test cases are excluded, because
# a name that occurs only in tests is no longer written or read by the programs.
OUTER_SOURCES = ["src", "platform", "include", "standins", "bench", "tests/support"]
OUTER_FILES = ["tests/matrix_main.cpp", "tools/fleet.py"]
OUTER_TEXTS = ["proto/peer.capnp", "deploy/system.toml", "deploy/gateway.json"]
CPP_COMMENT_OR_STRING = re.compile(r'//[^\n]*|/\*.*?\*/|R"\((.*?)\)"|"((?:\\.|[^"\\\n])*)"|\'(?:\\.|[^\'\\\n])+\'', re.S)
problems = []


def check_pages():
    for page in PAGES:
        path = os.path.join(ROOT, page)
        if not os.path.exists(path):
            problems.append(f"{page}: the file does not exist")
            continue
        if not page.endswith(".md"):
            continue
        with open(path, encoding="utf-8") as text:
            for target in re.findall(r"\]\(([^)#:]+)\)", text.read()):
                if not os.path.exists(os.path.join(os.path.dirname(path), target)):
                    problems.append(f"{page}: broken link to {target}")


def check_proofs():
    table = subprocess.run([os.path.join(ROOT, "build/limpettrestle-matrix"), "--proofs"], stdout=subprocess.PIPE, check=True).stdout.decode()
    with open(os.path.join(ROOT, "docs/PROOFS.md"), encoding="utf-8") as page:
        if table.strip() not in page.read():
            problems.append("docs/PROOFS.md does not contain the table that limpettrestle-matrix --proofs prints")
    if " red |" in table:
        problems.append("the table of limpettrestle-matrix --proofs has red cells, which mark broken promises")


def read(path):
    with open(path, encoding="utf-8") as text:
        return text.read()


def string_literals(path):
    """Returns all string literals of a C++ or Python file, one per line, without comments and docstrings."""
    if path.endswith(".py"):
        tree = ast.parse(read(path))
        docs = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
        literals = [node.value for node in ast.walk(tree)
                    if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in docs]
    else:
        literals = [raw or plain for raw, plain in CPP_COMMENT_OR_STRING.findall(read(path))]
    return "\n".join(re.sub(r"\\[nrt\"]", "\n", literal) for literal in literals)


def check_outer_names():
    """Reports each name of tools/outer_names.txt that occurs neither in a string literal of the code nor in a schema."""
    paths = [os.path.join(ROOT, name) for name in OUTER_FILES]
    for folder in OUTER_SOURCES:
        found = glob.glob(os.path.join(ROOT, folder, "**", "*"), recursive=True)
        paths += [path for path in found if path.endswith((".cpp", ".h", ".py")) and ".capnp." not in path]
    text = "\n".join([string_literals(path) for path in sorted(paths)] + [read(os.path.join(ROOT, name)) for name in OUTER_TEXTS])
    for name in filter(None, read(os.path.join(ROOT, "tools", "outer_names.txt")).split("\n")):
        if not re.search(r"(?<![\w-])" + re.escape(name) + r"(?![\w-])", text):
            problems.append(f"tools/outer_names.txt: {name} occurs in no string literal and in no schema")


check_pages()
check_outer_names()
if not problems:
    check_proofs()
for problem in problems:
    print(problem)
print(f"{1 if not problems else 0} passed, {len(problems)} failed")
sys.exit(1 if problems else 0)
