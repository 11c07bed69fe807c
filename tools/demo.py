#!/usr/bin/env python3
"""Demonstration on one machine: a search, a booking that is sent twice, a configuration change, the loss of
one of three zones, and the timeline. Exits 0 only if every check passes."""

import json
import os
import sys
import time

from fleet import Fleet, Service, call, wait_for

ZONES = ["hall-sabar", "hall-narmada", "hall-tapi"]
failures = []


def title(text):
    print(f"\n=== {text}", flush=True)


def check(condition, expectation):
    print(f"{'ok  ' if condition else 'FAIL'}  {expectation}", flush=True)
    if not condition:
        failures.append(expectation)


def show_search(fleet):
    title("A search over all shards of yard-desk")
    code, out = fleet.ctl("search", "--service", "yard-desk", "--query", "open stall, foaling mare", "--limit", "3", "--deadline-ms", "230")
    print(out.rstrip())
    check(code == 0 and "20 of 20 shards, complete" in out, "the answer is complete and comes from one snapshot")


def show_booking(fleet):
    title("A booking that must not be executed twice, resent through another instance")
    first, second = fleet.instances[0], fleet.instances[3]
    permit = call(first.caller, "/v1/permit", {"service": "yard-desk", "key": "stall-12/mare-7"})[1]["permit"]
    body = {"service": "yard-desk", "key": "stall-12/mare-7", "body": "two nights", "permit": permit}
    answers = [call(instance.caller, "/v1/submit", body)[1] for instance in (first, second)]
    for instance, answer in zip((first, second), answers):
        print(f"{instance.name}: {answer['outcome']}, {answer.get('body', '')}")
    executions = sum(entry["runs"].get("stall-12/mare-7", 0) for entry in fleet.counts().values())
    check(all(answer["outcome"] == "done" for answer in answers) and answers[0]["body"] == answers[1]["body"], "both answers report the same outcome")
    check(executions == 1, f"the backend servers executed it {executions} time(s)")


def show_configuration(fleet):
    title("A configuration patch, validated by limpettrestlectl and published by the operator")
    path = os.path.join(fleet.dir, "patch.json")
    with open(path, "w", encoding="utf-8") as patch:
        json.dump([{"op": "replace", "path": "/services/groom-rota/class", "value": "deferrable"}], patch)
    print(fleet.ctl("config", "patch", "--change", "groom-rota-deferrable", "--file", path)[1].rstrip())
    record = json.loads(fleet.ctl("config", "patch", "--change", "groom-rota-deferrable", "--file", path, "--json")[1])
    started = time.monotonic()
    fleet.publish(record["key"], record["value"])
    pending = {instance.name: instance for instance in fleet.running()}
    while pending and time.monotonic() - started < 10:
        for name, instance in list(pending.items()):
            if fleet.status(instance).get("config", {}).get("version") == record["version"]:
                print(f"{name}: version {record['version']} in force after {1000 * (time.monotonic() - started):.0f} ms")
                del pending[name]
    check(not pending and time.monotonic() - started < 5, "the configuration is in force on every instance within 5 s")


def show_lost_zone(fleet):
    title(f"A search after all instances and backend servers of zone {ZONES[2]} were killed")
    unavailable = {s["shard"] for s in fleet.servers if s["service"].name == "yard-desk"}
    unavailable -= {s["shard"] for s in fleet.servers if s["service"].name == "yard-desk" and s["zone"] != ZONES[2]}
    fleet.kill_zone(ZONES[2])
    code, out = fleet.ctl("search", "--service", "yard-desk", "--query", "open stall", "--limit", "2", "--json")
    answer = json.loads(out)
    missing = {m["shard"]: m["reason"] for m in answer["coverage"]["missing"]}
    print(f"{answer['result']}: {answer['coverage']['answered']} of {answer['coverage']['shards']} shards; missing: {missing}")
    check(code == 1 and set(missing) == unavailable, f"the answer is partial and names exactly the shards whose replicas are all in {ZONES[2]}")
    title("Explanation of this answer")
    print("\n".join(fleet.ctl("explain", answer["request_id"])[1].splitlines()[:14]))


def show_timeline(fleet):
    title("The timeline of all instances (last 25 events that do not belong to a single request)")
    code, out = fleet.ctl("timeline")
    lines = [line for line in out.splitlines() if "request_" not in line and "attempt" not in line]
    print("\n".join(lines[-25:]))
    check(code == 0 and any("config_accepted" in line for line in lines), "the timeline shows the configuration change")


def main():
    services = [Service("yard-desk", 20, priority="urgent"), Service("groom-rota", 20)]
    title("Starting the platform, 6 daemons and 80 backend servers in 3 zones")
    with Fleet(ZONES, 2, services) as fleet:
        wait_for(lambda: all(fleet.status(instance)["stats"]["members_alive"] == 6 for instance in fleet.instances), 15, "membership")
        print(fleet.ctl("status")[1].rstrip())
        show_search(fleet)
        show_booking(fleet)
        show_configuration(fleet)
        show_lost_zone(fleet)
        print()
        print(fleet.ctl("status")[1].rstrip())
        show_timeline(fleet)
    title("FAILED: " + "; ".join(failures) if failures else "All checks passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
