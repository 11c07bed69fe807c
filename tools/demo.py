#!/usr/bin/env python3
"""Demonstration: three zones, searches, a lost zone, a booking and its resend, a configuration
change, the time line. Exits 0 only if each came out as it should."""

import json
import os
import sys
import time

from fleet import Fleet, Service, call, wait_for

ZONES = ["hall-sabar", "hall-narmada", "hall-tapi"]
failures = []


def title(text):
    print(f"\n=== {text}", flush=True)


def check(condition, what):
    print(f"{'ok  ' if condition else 'FAIL'}  {what}", flush=True)
    if not condition:
        failures.append(what)


def show_search(fleet):
    title("A search over all shards of yard-desk")
    code, out = fleet.ctl("search", "--service", "yard-desk", "--query", "open stall, foaling mare", "--limit", "3", "--deadline-ms", "230")
    print(out.rstrip())
    check(code == 0 and "20 of 20 shards, complete" in out, "complete answer from one snapshot")


def show_booking(fleet):
    title("One booking that may not be repeated, and its resend through another instance")
    first, second = fleet.instances[0], fleet.instances[3]
    permit = call(first.caller, "/v1/permit", {"service": "yard-desk", "key": "stall-12/mare-7"})[1]["permit"]
    body = {"service": "yard-desk", "key": "stall-12/mare-7", "body": "two nights", "permit": permit}
    answers = [call(instance.caller, "/v1/submit", body)[1] for instance in (first, second)]
    for instance, answer in zip((first, second), answers):
        print(f"{instance.name}: {answer['outcome']}, {answer.get('body', '')}")
    runs = sum(entry["runs"].get("stall-12/mare-7", 0) for entry in fleet.counts().values())
    check(all(a["outcome"] == "done" for a in answers) and answers[0]["body"] == answers[1]["body"], "both answers are the one outcome")
    check(runs == 1, f"the backend servers ran it {runs} time(s)")


def show_configuration(fleet):
    title("A configuration patch, checked by the tool, published by the operator")
    path = os.path.join(fleet.dir, "patch.json")
    with open(path, "w", encoding="utf-8") as patch:
        json.dump([{"op": "replace", "path": "/services/groom-rota/class", "value": "deferrable"}], patch)
    print(fleet.ctl("config", "patch", "--change", "groom-rota-deferrable", "--file", path)[1].rstrip())
    entry = json.loads(fleet.ctl("config", "patch", "--change", "groom-rota-deferrable", "--file", path, "--json")[1])
    started = time.monotonic()
    fleet.publish(entry["key"], entry["value"])
    pending = {i.name: i for i in fleet.running()}
    while pending and time.monotonic() - started < 10:
        for name, instance in list(pending.items()):
            if fleet.status(instance).get("config", {}).get("version") == entry["version"]:
                print(f"{name}: version {entry['version']} in force after {1000 * (time.monotonic() - started):.0f} ms")
                del pending[name]
    check(not pending and time.monotonic() - started < 5, "in force on every instance within 5 s")


def show_lost_zone(fleet):
    title(f"A search while the zone {ZONES[2]} is lost")
    lost = {s["shard"] for s in fleet.servers if s["service"].name == "yard-desk"}
    lost -= {s["shard"] for s in fleet.servers if s["service"].name == "yard-desk" and s["zone"] != ZONES[2]}
    fleet.kill_zone(ZONES[2])
    code, out = fleet.ctl("search", "--service", "yard-desk", "--query", "open stall", "--limit", "2", "--json")
    answer = json.loads(out)
    missing = {m["shard"]: m["reason"] for m in answer["coverage"]["missing"]}
    print(f"{answer['result']}: {answer['coverage']['answered']} of {answer['coverage']['shards']} shards; missing: {missing}")
    check(code == 1 and set(missing) == lost, f"partial, exactly the shards that live only in {ZONES[2]} are named")
    title("Why this answer came out as it did")
    print("\n".join(fleet.ctl("explain", answer["request_id"])[1].splitlines()[:14]))


def show_timeline(fleet):
    title("The time line over all instances (last 25 events that are not single requests)")
    code, out = fleet.ctl("timeline")
    lines = [line for line in out.splitlines() if "request_" not in line and "attempt" not in line]
    print("\n".join(lines[-25:]))
    check(code == 0 and any("config_accepted" in line for line in lines), "the time line shows the configuration change")


def main():
    services = [Service("yard-desk", 20, priority="urgent"), Service("groom-rota", 20)]
    title("Starting 3 zones, 6 daemons, 80 backend servers, the platform")
    with Fleet(ZONES, 2, services) as fleet:
        wait_for(lambda: all(fleet.status(i)["stats"]["members_alive"] == 6 for i in fleet.instances), 15, "membership")
        print(fleet.ctl("status")[1].rstrip())
        show_search(fleet)
        show_booking(fleet)
        show_configuration(fleet)
        show_lost_zone(fleet)
        print()
        print(fleet.ctl("status")[1].rstrip())
        show_timeline(fleet)
    title("FAILED: " + "; ".join(failures) if failures else "Everything came out as it should")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
