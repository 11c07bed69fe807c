#!/usr/bin/env python3
"""Mutation test of the fault matrix: breaks one guard at a time in a scratch copy of the sources, builds and runs
the matrix there, expects it to fail, and prints a table of the results.

    tools/mutate.py [--jobs N] [--only NAME]
"""

import argparse
import os
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


class Mutation:
    """An edit that breaks one guard: `old` is replaced by `new` in `file`; `second` is a further (file, old, new)."""

    def __init__(self, name, promise, file, old, new, second=None):
        self.name = name
        self.promise = promise
        self.file = file
        self.old = old
        self.new = new
        self.edits = [(file, old, new)] + ([second] if second else [])


# The lease on the evidence that a server is not draining matters only while no instance has received the drain notice.
# As long as the drain table works, the guard of the lease is not needed, so "drain notices ignored" breaks both.
MUTATIONS = [
    Mutation("snapshot echo unchecked", "one snapshot", "src/request/coordinator.cpp",
             "if (item.snapshot != query.snapshot)", "if (false)"),
    Mutation("shard echo unchecked", "true coverage", "src/connection/replica_owner.cpp",
             "reply.code == ResultCode::Ok && reply.shard != call.item.shard", "false"),
    Mutation("denominator from replies", "true coverage", "src/request/coordinator.cpp",
             "answer.missing.push_back({ shard, state.reason });", ";"),
    Mutation("attempt echo unchecked", "own answer", "src/connection/replica_owner.cpp",
             "reply.code == ResultCode::Ok && reply.attempt != expectedAttempt", "false"),
    Mutation("lost reply reported as refused", "refused means not run", "src/request/one_shot_call.h",
             "{ Outcome::Unknown, ResultCode::OutcomeUnknown, {} }", "{ Outcome::Refused, ResultCode::ConnectionLost, {} }"),
    Mutation("unknown permit refused", "refused means not run", "src/request/submissions.cpp",
             "answer(reply, Outcome::Unknown, ResultCode::PermitUnknown", "answer(reply, Outcome::Refused, ResultCode::PermitUnknown"),
    Mutation("permit not marked as used", "at most once", "src/request/submissions.cpp",
             "record.state = result.outcome() == Outcome::Refused ? PermitState::Issued : PermitState::Ended;",
             "record.state = PermitState::Issued;"),
    Mutation("lost submission sent again", "at most once", "src/request/submissions.cpp",
             "    endRun(sequence, std::move(*run->sent).unknown());\n    return true;\n}\n\nvoid Submissions::onPeerFailed",
             "    releaseSlot(*run);\n    run->sent.reset();\n    run->unsent.emplace();\n    requestSlot(*run);\n    return true;\n}\n\nvoid Submissions::onPeerFailed"),
    Mutation("drain notices ignored", "drain", "src/process/drain_table.cpp",
             "    return drained_.contains(replica);", "    (void)replica;\n    return false;",
             # The preflight alone already keeps work away from a server that reports its drain, so its guard is
             # broken too.
             ("src/connection/replica_owner.cpp", "    if (isFresh)\n        return true;", "    return true;")),
    Mutation("shutdown at once", "graceful shutdown", "src/node.cpp",
             "    if (now < leavingAt_ + balancerLag_)\n        return;\n", "    setPhase(Phase::Stopped);\n    return;\n"),
    Mutation("older document taken", "configuration never reverts", "src/version/config_chain.cpp",
             "if (stamp.version < activeStamp.version || stamp == activeStamp)", "if (stamp == activeStamp)"),
    Mutation("base version unchecked", "configuration never reverts", "src/version/config_chain.cpp",
             "if (record.base.version < current.version)", "if (false)",
             ("src/version/config_chain.cpp", "if (record.base.digest != current.digest)", "if (false)")),
    Mutation("late wake unnoticed", "late wake", "src/node.cpp",
             "    if (gap < config::kLateWakeGap)\n        return;", "    (void)gap;\n    return;"),
    Mutation("no restart on a newer snapshot", "one snapshot", "src/request/coordinator.cpp",
             "const bool isSnapshotOutdated = query.newerSnapshot > query.snapshot;", "const bool isSnapshotOutdated = false;"),
    Mutation("news of a returned server not spread", "true coverage", "src/request/coordinator_send.cpp",
             "return replica ? replica : pickReplicaAmong(query, shard, true);", "return replica;"),
]


def run_mutation(mutation, scratch, jobs):
    """Applies the mutation, builds and runs the matrix, and restores the files. Returns (verdict, detail)."""
    originals = {}
    for file, old, new in mutation.edits:
        path = os.path.join(scratch, file)
        with open(path, encoding="utf-8") as source:
            text = source.read()
        originals[path] = text
        if text.count(old) != 1:
            return "STALE", f"the replaced text occurs {text.count(old)} times in {file}, expected once"
        with open(path, "w", encoding="utf-8") as out:
            out.write(text.replace(old, new))
    try:
        build = subprocess.run(["ninja", "-C", os.path.join(scratch, "build"), "-j", str(jobs), "limpettrestle-matrix"],
                               stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False)
        if build.returncode != 0:
            return "caught", "does not compile"
        try:
            matrix = subprocess.run([os.path.join(scratch, "build", "limpettrestle-matrix"), "--pairs", "1500"],
                                    stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=180, check=False)
        except subprocess.TimeoutExpired:
            return "caught", "does not end"
        output = matrix.stdout.decode(errors="replace")
        if matrix.returncode == 0:
            return "MISSED", ""
        totals = re.findall(r"(\d+) passed, (\d+) failed", output)
        first_failure = next((line for line in output.splitlines() if line.startswith("FAILED")), "crash")
        return "caught", f"{totals[0][1] if totals else '?'} red, first: {first_failure[:150]}"
    finally:
        for path, text in originals.items():
            with open(path, "w", encoding="utf-8") as out:
                out.write(text)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    missed = 0
    scratch = tempfile.mkdtemp(prefix="limpettrestle-mutate-")
    try:
        for part in ("include", "src", "standins", "tests", "proto", "bench", "examples", "CMakeLists.txt"):
            source = os.path.join(ROOT, part)
            if os.path.isdir(source):
                shutil.copytree(source, os.path.join(scratch, part))
            elif os.path.exists(source):
                shutil.copy(source, scratch)
        subprocess.run(["cmake", "-S", scratch, "-B", os.path.join(scratch, "build"), "-G", "Ninja"], stdout=subprocess.DEVNULL, check=True)
        print("| guard broken | promise | verdict | what the matrix said |\n|---|---|---|---|")
        for mutation in MUTATIONS:
            if arguments.only and arguments.only not in mutation.name:
                continue
            verdict, detail = run_mutation(mutation, scratch, arguments.jobs)
            missed += verdict != "caught"
            print(f"| {mutation.name} | {mutation.promise} | {verdict} | {detail} |", flush=True)
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    print(f"{len(MUTATIONS) - missed} caught, {missed} missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
