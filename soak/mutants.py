#!/usr/bin/env python3
"""Shows that the soak finds defects: breaks one guard at a time in a scratch copy, builds it, and plays seeds until one finds it.

Usage: soak/mutants.py [--only NAME] [--seeds N] [--minutes M]
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD_JOBS = "4"

# Name: (file, text, replacement).
MUTANTS = {
    "a stop cuts what is open": ("src/gateway/gateway_shutdown.cpp", "    stop_.begin(suspensions_.lastRunAt(), settings_.grace);\n", "    uv_stop(&loop_);\n    return;\n"),
    "replies are not matched by ID": ("src/gateway/replica_links.cpp", "if (isForeign && !requestId.empty())", "if (false && isForeign)"),
    "removals are ignored": ("src/gateway/cluster_state.cpp", "    listedIds_.erase(item.id);\n    directory_.remove(item.id, clock_.now());", "    return;"),
    "draining is ignored": ("src/process/replica_directory.h", " && entry.state == ReplicaState::Ready; }", "; }"),
    "new configurations are ignored": ("src/gateway/gateway_state.cpp", "if (version <= before ||", "if (before != 0 ||"),
    "a lost call counts as not run": ("src/gateway/replica_links.cpp", "CallFailure::Malformed : CallFailure::Lost);", "CallFailure::Malformed : CallFailure::NotSent);"),
    "a cut reply is complete": ("src/net/http_client.cpp", "    closeAndNotify(isReset ? CloseReason::Reset : CloseReason::Closed);",
                                "    if (expectsResponse_ && response_.status != 0)\n        finishResponse(nullptr, 0);\n    else\n        closeAndNotify(CloseReason::Closed);"),
    "a reload ends the process": ("src/gateway/gateway.cpp", "void Gateway::reloadSettings()\n{\n", "void Gateway::reloadSettings()\n{\n    std::_Exit(3);\n"),
}


def build(folder, mutant):
    file, text, replacement = mutant
    path = os.path.join(folder, file)
    with open(path, encoding="utf-8") as source:
        original = source.read()
    if text not in original:
        sys.exit(f"{file} does not contain the text to replace: {text!r}")
    with open(path, "w", encoding="utf-8") as source:
        source.write(original.replace(text, replacement))
    try:
        subprocess.run(["cmake", "--build", os.path.join(folder, "target"), f"-j{BUILD_JOBS}", "--target", "limpettrestle-gateway"], check=True, stdout=subprocess.DEVNULL)
    finally:
        with open(path, "w", encoding="utf-8") as source:
            source.write(original)


def find(folder, seeds, minutes):
    """Returns the first seed whose run finds a violation, and what it says; None when no seed does."""
    for seed in range(1, seeds + 1):
        run = subprocess.run([sys.executable, os.path.join(ROOT, "soak", "run.py"), "--seed", str(seed), "--minutes", str(minutes)], text=True, check=False,
                             stdout=subprocess.PIPE, env={**os.environ, "LIMPETTRESTLE_BUILD": os.path.join(folder, "target")})
        if run.returncode == 1:
            return seed, next((line for line in run.stdout.split("\n") if line.startswith("VIOLATION")), "")
    return None


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--only", choices=sorted(MUTANTS))
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--minutes", type=float, default=1.0)
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="mutants-")
    missed = 0
    try:
        subprocess.run(["git", "clone", "-q", ROOT, folder], check=True)
        subprocess.run(["cmake", "-S", folder, "-B", os.path.join(folder, "target"), "-DCMAKE_BUILD_TYPE=Release", "-DLIMPETTRESTLE_GATEWAY_ONLY=ON",
                        "-DCMAKE_CXX_COMPILER_LAUNCHER=ccache"], check=True, stdout=subprocess.DEVNULL)
        for name, mutant in MUTANTS.items():
            if options.only not in (None, name):
                continue
            build(folder, mutant)
            found = find(folder, options.seeds, options.minutes)
            missed += found is None
            print(f"{name}: {'not found' if found is None else f'found at seed {found[0]}: {found[1]}'}", flush=True)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(f"{missed} not found")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
