#!/usr/bin/env python3
"""Runs an experiment: applies the same load and faults to a fleet with each variant of the policy.

    bench/experiment.py bench/experiments/healthy.json [--out bench/results]

An experiment is JSON: {"title", "deployment": "sabarmati" | "woggle", "service_ms", "per_zone", "seconds", "seed",
"streams": [...], "variants": {name: policy}, "faults": [{"at": seconds, "do": NAME, ...}]}.
Writes Markdown tables, and a plot of latency and coverage by second.
"""

import argparse
import json
import os
import random
import re
import signal
import subprocess
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tools"))
from fleet import HOST, Fleet, Service, call  # noqa: E402

DEPLOYMENTS = {
    "sabarmati": (["hall-sabar", "hall-narmada", "hall-tapi"], [
        Service("yard-desk", 20, priority="urgent"), Service("groom-rota", 30),
        Service("owner-portal", 1, replicas=4, slots=4, connections=45, connect_ms=1),
        Service("farrier-slots", 1, replicas=3, slots=4, connections=45, connect_ms=1)]),
    "woggle": (["seq-north", "seq-south", "seq-coast"], [
        Service("campfire", 20, priority="urgent"), Service("honour-roll", 30),
        Service("roster", 1, replicas=5, connections=100, connect_ms=1),
        Service("parent-portal", 1, replicas=3, connections=100, connect_ms=1)]),
}


def metric(fleet, instance, name):
    status, text = call(instance.admin, "/metrics")
    match = re.search(rf"^limpettrestle_{name} ([0-9.e+]+)", text, re.M) if status == 200 else None
    return float(match.group(1)) if match else 0.0


class FaultInjector(threading.Thread):
    """Injects the faults of a schedule. `do_NAME` implements the fault with `"do": NAME`."""

    def __init__(self, fleet, schedule, seed):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.schedule = sorted(schedule, key=lambda f: f["at"])
        self.random = random.Random(seed)
        self.started = time.monotonic()

    def run(self):
        for fault in self.schedule:
            time.sleep(max(0, self.started + fault["at"] - time.monotonic()))
            getattr(self, "do_" + fault["do"])(**{k: v for k, v in fault.items() if k not in ("at", "do")})

    # Returns the names of a random share, at least one, of the servers of a service or of all services.
    def _choose_servers(self, service, share):
        names = sorted(s["name"] for s in self.fleet.servers if service in (None, s["service"].name))
        return self.random.sample(names, max(1, round(len(names) * share)))

    def do_straggle(self, share, factor, service=None):
        """Multiplies the service time of a share of the replicas by a factor."""
        self.fleet.fault(self._choose_servers(service, share), slow_factor=factor)

    def do_hang(self, share, service=None):
        self.fleet.fault(self._choose_servers(service, share), hangs=True)

    def do_heal(self):
        self.fleet.fault(slow_factor=1, hangs=False, shed_share=0, straggle_share=0)

    def do_kill(self, instance):
        self.fleet.instances[instance].process.kill()

    def do_pause(self, instance, seconds):
        process = self.fleet.instances[instance].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def do_restart(self, instance):
        self.fleet.start_instance(self.fleet.instances[instance])

    def do_terminate(self, instance):
        self.fleet.instances[instance].process.send_signal(signal.SIGTERM)

    def do_kill_zone(self, zone):
        self.fleet.kill_zone(self.fleet.zones[zone])

    def do_platform_down(self):
        self.fleet.platform_fault(down=True)


def run_variant(experiment, name, policy):
    zones, services = DEPLOYMENTS[experiment["deployment"]]
    for service in services:
        service.service_ms = experiment.get("service_ms", 6)
    settings = {"limits": {"caller_threads": 256}}
    with Fleet(zones, experiment.get("per_zone", 3), services, policy=policy, settings=settings) as fleet:
        fleet.instances[-1].process.kill() if experiment.get("drop_last", False) else None
        fleet.wait_members(len(fleet.running()), 20)
        time.sleep(1.5)
        targets = [f"{HOST}:{i.caller}" for n, i in enumerate(fleet.running()) if n not in experiment.get("not_targets", [])]
        plan = {"seconds": experiment["seconds"], "seed": experiment.get("seed", 1), "workers": experiment.get("workers", 24),
                "targets": targets, "streams": experiment["streams"]}
        path = fleet._write("plan.json", plan)
        daemons = [i for i in fleet.running()]
        before = {"cpu": [fleet.cpu_seconds(i.process) for i in daemons], "calls": sum(c["calls"] for c in fleet.counts().values()),
                  "needed": sum(metric(fleet, i, "sub_requests_needed_total") for i in daemons),
                  "control": sum(metric(fleet, i, "control_bytes_out_total") for i in daemons),
                  "reads": call(fleet.platform_port, "/v1/counts")[1]["reads"]}
        faults = FaultInjector(fleet, experiment.get("faults", []), experiment.get("seed", 1))
        faults.start()
        started = time.monotonic()
        load_run = subprocess.run([os.path.join(fleet.build, "limpettrestle-load"), "--plan", path], stdout=subprocess.PIPE, check=True)
        elapsed = time.monotonic() - started
        result = json.loads(load_run.stdout)
        alive = [(n, i) for n, i in enumerate(daemons) if i.process.poll() is None]
        counts = fleet.counts().values()
        calls = sum(c["calls"] for c in counts) - before["calls"]
        needed = sum(metric(fleet, i, "sub_requests_needed_total") for _, i in alive) - before["needed"]
        cpu = sum(fleet.cpu_seconds(i.process) - before["cpu"][n] for n, i in alive)
        result.update({
            "variant": name,
            "extra_load": calls / needed if needed > 0 else 0.0,
            "slot_overruns": sum(c["slot_overruns"] for c in counts),
            "connections_over": sum(c["connections_over"] for c in counts),
            "connections_most": max(c["connections_most"] for c in counts),
            "daemon_us_per_sub_request": 1e6 * cpu / calls if calls else 0.0,
            "daemon_cores": cpu / elapsed / max(1, len(alive)),
            "rss_mb": max(fleet.rss_megabytes(i.process) for _, i in alive),
            "control_bytes_s": (sum(metric(fleet, i, "control_bytes_out_total") for _, i in alive) - before["control"]) / elapsed / len(alive),
            "platform_reads_s": (call(fleet.platform_port, "/v1/counts")[1]["reads"] - before["reads"]) / elapsed,
            "hedges": sum(metric(fleet, i, "hedges_total") for _, i in alive),
            "retries": sum(metric(fleet, i, "retries_total") for _, i in alive),
        })
        return result


def format_tables(experiment, command, results):
    lines = [f"# {experiment['title']}", "", experiment.get("text", ""), "", f"Command: `{command}`", "",
             "| variant | stream | sent | complete | refused | failed | coverage | p50 ms | p99 ms | p99.9 ms | <= 230 ms |",
             "|---|---|---|---|---|---|---|---|---|---|---|"]
    for r in results:
        for s in r["streams"]:
            label = s["service"] + (f" ({s['class']})" if s["class"] else "")
            lines.append(f"| {r['variant']} | {label} | {s['sent']} | {s['complete']} | {s['refused']} | {s['failed']} | {s['coverage']:.4f} "
                         f"| {s['p50']:.1f} | {s['p99']:.1f} | {s['p999']:.1f} | {100 * s['within_230']:.2f}% |")
    lines += ["", "| variant | extra load | slot overruns | most connections | over the cap | hedges | retries | daemon us/sub-request "
              "| cores/daemon | RSS MB | control B/s | platform reads/s |", "|---|---|---|---|---|---|---|---|---|---|---|---|"]
    for r in results:
        lines.append(f"| {r['variant']} | {r['extra_load']:.3f} | {r['slot_overruns']} | {r['connections_most']} | {r['connections_over']} "
                     f"| {r['hedges']:.0f} | {r['retries']:.0f} | {r['daemon_us_per_sub_request']:.0f} | {r['daemon_cores']:.2f} "
                     f"| {r['rss_mb']:.0f} | {r['control_bytes_s']:.0f} | {r['platform_reads_s']:.2f} |")
    return "\n".join(lines) + "\n"


def plot(results, path, title):
    """Plots p99 and coverage of each second with gnuplot, if it is installed."""
    data = []
    for r in results:
        data.append("\n".join(f"{n} {s['p99']} {s['coverage']}" for n, s in enumerate(r["series"])))
    data_blocks = "\n\n\n".join(data)
    names = [r["variant"].replace("_", " ") for r in results]
    latency_curves = ", ".join(f"'$d' index {n} using 1:2 with linespoints title '{name} p99'" for n, name in enumerate(names))
    coverage_curves = ", ".join(f"'$d' index {n} using 1:3 with linespoints title '{name}'" for n, name in enumerate(names))
    script = (f"$d << EOD\n{data_blocks}\nEOD\nset terminal svg size 900,600 background 'white'\nset output '{path}'\n"
              f"set multiplot layout 2,1 title \"{title}\"\nset ylabel 'p99, ms'\nset logscale y\nplot {latency_curves}\nunset logscale y\n"
              f"set ylabel 'coverage'\nset yrange [0:1.05]\nset xlabel 'second'\nplot {coverage_curves}\nunset multiplot\n")
    try:
        subprocess.run(["gnuplot"], input=script.encode(), check=True)
    except (OSError, subprocess.CalledProcessError):
        print("no plot was written: gnuplot is not installed or failed")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("file")
    parser.add_argument("--out", default=os.path.join(ROOT, "bench", "results"))
    parser.add_argument("--only", help="run one variant")
    arguments = parser.parse_args()
    with open(arguments.file, encoding="utf-8") as source:
        experiment = json.load(source)
    variants = {n: p for n, p in experiment["variants"].items() if arguments.only in (None, n)}
    results = [run_variant(experiment, name, policy) for name, policy in variants.items()]
    name = os.path.splitext(os.path.basename(arguments.file))[0]
    os.makedirs(arguments.out, exist_ok=True)
    text = format_tables(experiment, f"bench/experiment.py bench/experiments/{name}.json", results)
    with open(os.path.join(arguments.out, name + ".md"), "w", encoding="utf-8") as out:
        out.write(text)
    plot(results, os.path.join(arguments.out, name + ".svg"), experiment["title"])
    print(text)


if __name__ == "__main__":
    main()
