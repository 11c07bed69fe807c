"""A small deployment on loopback addresses: gateways as real processes, the store, replicas and clients.

The gateways run with the command of deploy/system.toml; their settings are the rendered template deploy/gateway.json.
The store is the project's stand-in, standins/registry_platform.py.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "standins"))
from registry_platform import Store  # noqa: E402

HOST = "127.0.0.1"
HOSTNAME = "app.example"
# Bounds of the site sabar-livery.
BOUNDS = {"drain_ms": 3000, "config_ms": 3000, "grace_s": 6, "retry_ratio": 0.2, "retry_slack": 56}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def free_ports(count):
    """Returns free ports below the ephemeral range."""
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as text:
        first_outgoing = int(text.read().split()[0])
    ports, port = [], 10000 + os.getpid() * 37 % 12000
    while len(ports) < count:
        port += 1
        if port >= first_outgoing:
            port = 10000
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


def wait_for(condition, what, limit=15.0):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun(what)


def deploy_command():
    """Returns the words of the role's command in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as text:
        return re.search(r'^run = "(.*)"$', text.read(), re.M).group(1).split()


def render(template, values):
    """Renders the few kinds of placeholders that deploy/gateway.json uses."""
    def lookup(name):
        value = values
        for key in name.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        return value

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m.group(2) if lookup(m.group(1)) is not None else "", template, flags=re.S)
    template = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(lookup(m.group(1))), template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(lookup(m.group(1))), template)


class Record:
    """What was sent, answered and run, with times since the start of the script."""

    def __init__(self, folder):
        self.path, self.lines, self.lock = os.path.join(folder, "record.txt"), [], threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        at = self.now()
        with self.lock:
            self.lines.append((at, text))
        return at

    def write(self):
        with open(self.path, "w", encoding="utf-8") as out:
            for at, text in sorted(self.lines):
                out.write(f"{at:9.4f} {text}\n")


class Gateway:
    def __init__(self, bed, number, ports, seeds, store_port):
        self.front, self.readiness, self.control, self.metrics = ports
        values = {"node_id": f"front-z1-{number}", "zone": "z1", "zones": {"z1": "r1"}, "ip": HOST, "seeds": seeds, "limits": {"cpu_share": 0.25},
                  "listen": {"front": f"{HOST}:{self.front}", "readiness": f"{HOST}:{self.readiness}", "control": f"{HOST}:{self.control}"},
                  "bounds": BOUNDS, "platform": {"address": f"{HOST}:{store_port}"}}
        with open(os.path.join(ROOT, "deploy", "gateway.json"), encoding="utf-8") as text:
            settings = render(text.read(), values)
        # All gateways of the script share one address, so each needs a metrics port of its own.
        settings = settings.replace(f"{HOST}:9464", f"{HOST}:{self.metrics}")
        self.file, self.log = os.path.join(bed.folder, f"boot-{number}.json"), os.path.join(bed.folder, f"gateway-{number}.log")
        with open(self.file, "w", encoding="utf-8") as out:
            out.write(settings)
        command = [word if word != "/etc/limpettrestle/boot.json" else self.file for word in deploy_command()]
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=out)

    def is_ready(self):
        try:
            with socket.create_connection((HOST, self.readiness), timeout=1) as check:
                check.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in check.recv(200)
        except OSError:
            return False

    def log_lines(self, word):
        with open(self.log, encoding="utf-8") as text:
            return [line.rstrip() for line in text if word in line]


class Bed:
    def __init__(self, folder, gateways=3):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.gateways, self.replicas = [], []
        self.gateway_count, self.version, self.is_open = gateways, 0, True
        threading.Thread(target=self.heartbeats, daemon=True).start()

    def heartbeats(self):
        while self.is_open:
            time.sleep(1.2)
            for replica in list(self.replicas):
                if replica.state != "gone":
                    replica.report()

    def configure(self, routes, services):
        self.version += 3
        self.store.write("op/config", {"version": self.version, "routes": routes, "backends": services,
                                       "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def start_gateway(self, number, ports, seeds, store_port=None):
        program = os.path.join(ROOT, deploy_command()[0])
        if not os.path.exists(program):
            raise CannotRun(f"{program} is not built")
        self.gateways.append(Gateway(self, number, ports, seeds, store_port or self.store.server.port))

    def wait_until_ready(self):
        for gateway in self.gateways:
            wait_for(gateway.is_ready, "a gateway is not ready")

    def start_gateways(self):
        ports = free_ports(4 * self.gateway_count)
        sets = [ports[4 * n:4 * n + 4] for n in range(self.gateway_count)]
        seeds = [f"{HOST}:{one[2]}" for one in sets[:3]]
        for number, one in enumerate(sets):
            self.start_gateway(number, one, seeds)
        self.wait_until_ready()

    def close(self):
        self.is_open = False
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.kill()
            gateway.process.wait()
        self.record.write()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def read_response(connection, deadline):
    """Reads one response with a declared length. Returns (status, headers, body), or what is missing as a string."""
    data = b""
    while True:
        head, separator, rest = data.partition(b"\r\n\r\n")
        if separator:
            lines = head.decode("latin-1").split("\r\n")
            headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
            if len(rest) >= int(headers.get("content-length", 0)):
                return int(lines[0].split()[1]), headers, rest
        left = deadline - time.monotonic()
        if left <= 0:
            return "no complete answer in time"
        connection.settimeout(left)
        try:
            more = connection.recv(65536)
        except socket.timeout:
            return "no complete answer in time"
        except OSError as error:
            return f"connection ended without a complete answer ({error.strerror})"
        if not more:
            return "connection ended without a complete answer (closed)"
        data += more


def request_bytes(request_id, path, deadline_ms, method="GET", body=b""):
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def main(folder, play):
    """Plays a case. `play(bed, has_trouble)` returns the ways in which the rule was broken. Exits with 0, 1 or 2."""
    has_trouble = os.environ.get("TROUBLE") != "0"
    # The script ends in time, whatever happens.
    signal.signal(signal.SIGALRM, lambda *_: (_ for _ in ()).throw(CannotRun("the script took too long")))
    signal.alarm(110)
    bed = Bed(folder)
    code = 2
    try:
        broken = play(bed, has_trouble)
        bed.record.add(f"verdict: {'broken: ' + '; '.join(broken) if broken else 'held'}")
        code = 1 if broken else 0
    except CannotRun as problem:
        bed.record.add(f"verdict: cannot run: {problem}")
    except Exception as problem:  # pylint: disable=broad-except
        bed.record.add(f"verdict: cannot run: {problem!r}")
    finally:
        bed.close()
    print(bed.record.lines[-1][1])
    sys.stdout.flush()
    os._exit(code)
