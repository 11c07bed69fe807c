"""Starts a deployment of daemons and stand-ins on loopback, for the demo, process tests and bench."""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def free_ports(count):
    """Returns ports that were free a moment ago."""
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((HOST, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def call(port, path, body=None, timeout=5.0):
    """HTTP call on loopback. Returns (status, parsed JSON or text); status 0 when unreachable."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{HOST}:{port}{path}", data=data)
    if data is not None:
        request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            status, text = response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    except (OSError, ValueError):
        return 0, None
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


class Service:
    """Shape of one service of a deployment."""

    def __init__(self, name, shards, replicas=2, slots=2, connections=25, service_ms=6, connect_ms=6, priority="normal"):
        self.name = name
        self.shards = shards
        self.replicas = replicas
        self.slots = slots
        self.connections = connections
        self.service_ms = service_ms
        self.connect_ms = connect_ms
        self.priority = priority


class Instance:
    """One daemon."""

    def __init__(self, name, zone, ports):
        self.name = name
        self.zone = zone
        self.caller, self.peer, self.admin = ports
        self.process = None


class Fleet:
    """A deployment: platform, backend servers by zone, entry instances by zone."""

    def __init__(self, zones, per_zone, services, build=None, policy=None, balancer_lag_ms=300, settings=None):
        self.zones = zones
        self.services = services
        self.policy = policy or {}
        self.build = build or os.environ.get("LIMPETTRESTLE_BUILD", os.path.join(ROOT, "build"))
        self.dir = tempfile.mkdtemp(prefix="limpettrestle-")
        self.balancer_lag_ms = balancer_lag_ms
        self.extra_settings = settings or {}
        self.processes = []
        self.backends = {}
        replicas = sum(s.shards * s.replicas for s in services)
        ports = free_ports(1 + len(zones) + replicas + 3 * per_zone * len(zones))
        self.platform_port = ports.pop()
        self.control = {zone: ports.pop() for zone in zones}
        self.servers = self._place(ports)
        self.instances = []
        for zone in zones:
            for i in range(per_zone):
                name = f"{zone}-{i}"
                self.instances.append(Instance(name, zone, [ports.pop(), ports.pop(), ports.pop()]))

    def _place(self, ports):
        """Every second shard has its replicas in one zone, the others in neighbouring zones."""
        servers = []
        for service in self.services:
            for shard in range(service.shards):
                for replica in range(service.replicas):
                    step = replica if shard % 2 == 0 else 0
                    zone = self.zones[(shard + step) % len(self.zones)]
                    servers.append({"name": f"{service.name}-{shard:02d}-{replica}", "service": service, "shard": shard,
                                    "zone": zone, "port": ports.pop()})
        return servers

    def document(self):
        """The configuration document of this deployment."""
        services = {}
        for service in self.services:
            shards = [[] for _ in range(service.shards)]
            for server in self.servers:
                if server["service"] is service:
                    shards[server["shard"]].append({"name": server["name"], "address": f"{HOST}:{server['port']}", "zone": server["zone"]})
            services[service.name] = {"class": service.priority, "map_version": 1, "snapshot": 1, "slots": service.slots,
                                      "connections": service.connections, "shards": shards}
        return {"services": services, "policy": self.policy}

    def _spawn(self, name, arguments):
        log = open(os.path.join(self.dir, f"{name}.log"), "ab")
        process = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.processes.append(process)
        return process

    def _write(self, name, value):
        path = os.path.join(self.dir, name)
        with open(path, "w", encoding="utf-8") as out:
            json.dump(value, out)
        return path

    def start(self):
        """Starts everything and waits until every instance is ready."""
        self.start_platform()
        for zone in self.zones:
            self.start_backends(zone)
        self.publish_checkpoint(1, self.document())
        for instance in self.instances:
            self.start_instance(instance)
        self.wait_ready(self.instances)

    def start_platform(self):
        self.platform = self._spawn("platform", [os.path.join(self.build, "limpettrestle-platform"), "--host", HOST, "--port", str(self.platform_port)])
        wait_for(lambda: call(self.platform_port, "/v1/counts")[0] == 200, 10, "platform")

    def start_backends(self, zone):
        servers = [{"name": s["name"], "port": s["port"], "shard": s["shard"], "slots": s["service"].slots,
                    "connections": s["service"].connections, "service_ms": s["service"].service_ms,
                    "connect_ms": s["service"].connect_ms} for s in self.servers if s["zone"] == zone]
        path = self._write(f"backends-{zone}.json", {"control": f"{HOST}:{self.control[zone]}", "servers": servers, "seed": 7})
        self.backends[zone] = self._spawn(f"backends-{zone}", [os.path.join(self.build, "limpettrestle-backends"), "--config", path])
        wait_for(lambda: call(self.control[zone], "/v1/counts")[0] == 200, 10, f"backends of {zone}")

    def start_instance(self, instance):
        settings = {"name": instance.name, "zone": instance.zone, "caller": f"{HOST}:{instance.caller}",
                    "peer": f"{HOST}:{instance.peer}", "admin": f"{HOST}:{instance.admin}",
                    "platform": f"{HOST}:{self.platform_port}",
                    "shutdown": {"balancer_lag_ms": self.balancer_lag_ms, "drain_limit_ms": 5000}}
        settings.update(self.extra_settings)
        path = self._write(f"{instance.name}.json", settings)
        self.publish(f"members/{instance.name}", json.dumps({"address": f"{HOST}:{instance.peer}", "zone": instance.zone}))
        instance.process = self._spawn(instance.name, [os.path.join(self.build, "limpettrestled"), "--config", path])

    def wait_ready(self, instances, seconds=15):
        for instance in instances:
            wait_for(lambda: call(instance.admin, "/readyz")[0] == 200, seconds, instance.name)

    def wait_members(self, count, seconds=15):
        """Waits until every running instance sees `count` members alive."""
        for instance in self.running():
            wait_for(lambda: self.status(instance).get("stats", {}).get("members_alive") == count, seconds, f"members at {instance.name}")

    def running(self):
        return [i for i in self.instances if i.process and i.process.poll() is None]

    def publish(self, key, value):
        return call(self.platform_port, "/v1/publish", {"key": key, "value": value})

    def publish_checkpoint(self, version, document):
        return self.publish(f"config/checkpoint-{version}", json.dumps({"change": f"checkpoint-{version}", "version": version, "checkpoint": document}))

    def withdraw(self, key):
        return call(self.platform_port, "/v1/publish", {"key": key, "delete": True})

    def platform_fault(self, **fault):
        return call(self.platform_port, "/v1/fault", fault)

    def fault(self, names=None, **settings):
        """Sets faults on the named servers, or on all."""
        for zone in self.zones:
            body = {"set": settings}
            if names is not None:
                body["servers"] = names
            if self.backends[zone].poll() is None:
                call(self.control[zone], "/v1/fault", body)

    def counts(self):
        """Counts of all servers by name."""
        out = {}
        for zone in self.zones:
            status, counts = call(self.control[zone], "/v1/counts")
            if status == 200:
                out.update({entry["name"]: entry for entry in counts})
        return out

    def status(self, instance):
        status, body = call(instance.admin, "/v1/status")
        return body if status == 200 else {}

    def search(self, instance, service, deadline_ms=1000, **more):
        return call(instance.caller, "/v1/search", {"service": service, "query": "q", "deadline_ms": deadline_ms, **more})

    def ctl(self, *arguments):
        """Runs limpettrestlectl against the running instances; returns (exit code, output)."""
        command = [os.path.join(self.build, "limpettrestlectl"), *arguments]
        for instance in self.running():
            command += ["--caller", f"{HOST}:{instance.caller}", "--admin", f"{HOST}:{instance.admin}"]
        done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=60, check=False)
        return done.returncode, done.stdout.decode()

    def kill_zone(self, zone):
        """Kills the zone's instances and backend servers at once."""
        for instance in self.instances:
            if instance.zone == zone and instance.process:
                instance.process.kill()
        self.backends[zone].kill()

    def cpu_seconds(self, process):
        with open(f"/proc/{process.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_megabytes(self, process):
        with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if not os.environ.get("LIMPETTRESTLE_KEEP_LOGS"):
            shutil.rmtree(self.dir, ignore_errors=True)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.print_logs()
            self.stop()
            raise
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.print_logs()
        self.stop()

    def print_logs(self):
        for name in sorted(os.listdir(self.dir)):
            if name.endswith(".log"):
                with open(os.path.join(self.dir, name), encoding="utf-8", errors="replace") as log:
                    tail = log.readlines()[-15:]
                print(f"--- {name}\n{''.join(tail)}", flush=True)


def wait_for(condition, seconds, what):
    """Polls until the condition holds; raises TimeoutError otherwise."""
    limit = time.monotonic() + seconds
    while time.monotonic() < limit:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError(f"waited {seconds} s for {what}")
