"""Runs a deployment on loopback for the demo, the process tests and the benchmarks: daemons, simulated backend servers
and a simulated platform."""

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
    """Returns TCP ports that were free when checked; another process may still bind them before they are used."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((HOST, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def call(port, path, body=None, timeout=5.0):
    """Sends an HTTP request on loopback. Returns (status, parsed JSON or text), or (0, None) if the call fails without a response."""
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
    """Parameters of one service of a deployment and of its simulated backend servers."""

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
    """One daemon with its ports; `process` is None until it is started."""

    def __init__(self, name, zone, ports):
        self.name = name
        self.zone = zone
        self.caller, self.peer, self.admin = ports
        self.process = None


class Fleet:
    """A deployment: the platform, and in each zone one process for its backend servers and `per_zone` instances."""

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
        replicas = sum(service.shards * service.replicas for service in services)
        ports = free_ports(1 + len(zones) + replicas + 3 * per_zone * len(zones))
        self.platform_port = ports.pop()
        self.control = {zone: ports.pop() for zone in zones}
        self.servers = self._place_servers(ports)
        self.instances = []
        for zone in zones:
            for i in range(per_zone):
                name = f"{zone}-{i}"
                self.instances.append(Instance(name, zone, [ports.pop(), ports.pop(), ports.pop()]))

    def _place_servers(self, ports):
        """Assigns replicas to zones: shards with an even number have theirs in consecutive zones, the others all in one zone."""
        servers = []
        for service in self.services:
            for shard in range(service.shards):
                for replica in range(service.replicas):
                    zone_offset = replica if shard % 2 == 0 else 0
                    zone = self.zones[(shard + zone_offset) % len(self.zones)]
                    servers.append({"name": f"{service.name}-{shard:02d}-{replica}", "service": service, "shard": shard,
                                    "zone": zone, "port": ports.pop()})
        return servers

    def document(self):
        """Returns the configuration document of this deployment."""
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
        """Starts all processes, publishes the configuration and waits until every instance is ready."""
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
        """Waits until every running instance counts `count` members as alive."""
        for instance in self.running():
            wait_for(lambda: self.status(instance).get("stats", {}).get("members_alive") == count, seconds, f"{count} members at {instance.name}")

    def running(self):
        return [instance for instance in self.instances if instance.process and instance.process.poll() is None]

    def publish(self, key, value):
        return call(self.platform_port, "/v1/publish", {"key": key, "value": value})

    def publish_checkpoint(self, version, document):
        return self.publish(f"config/checkpoint-{version}", json.dumps({"change": f"checkpoint-{version}", "version": version, "checkpoint": document}))

    def delete_entry(self, key):
        return call(self.platform_port, "/v1/publish", {"key": key, "delete": True})

    def platform_fault(self, **fault):
        return call(self.platform_port, "/v1/fault", fault)

    def fault(self, names=None, **settings):
        """Sets faults on the named backend servers, or on all of them; skips zones whose process has ended."""
        for zone in self.zones:
            body = {"set": settings}
            if names is not None:
                body["servers"] = names
            if self.backends[zone].poll() is None:
                call(self.control[zone], "/v1/fault", body)

    def counts(self):
        """Returns the counters of all reachable backend servers by name."""
        counts_by_name = {}
        for zone in self.zones:
            status, counts = call(self.control[zone], "/v1/counts")
            if status == 200:
                counts_by_name.update({entry["name"]: entry for entry in counts})
        return counts_by_name

    def status(self, instance):
        status, body = call(instance.admin, "/v1/status")
        return body if status == 200 else {}

    def search(self, instance, service, deadline_ms=1000, **fields):
        return call(instance.caller, "/v1/search", {"service": service, "query": "q", "deadline_ms": deadline_ms, **fields})

    def ctl(self, *arguments):
        """Runs limpettrestlectl against the running instances; returns (exit code, output)."""
        command = [os.path.join(self.build, "limpettrestlectl"), *arguments]
        for instance in self.running():
            command += ["--caller", f"{HOST}:{instance.caller}", "--admin", f"{HOST}:{instance.admin}"]
        result = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=60, check=False)
        return result.returncode, result.stdout.decode()

    def kill_zone(self, zone):
        """Sends SIGKILL to the instances and the backend servers of the zone."""
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

    def __exit__(self, error_type, error, traceback):
        if error_type is not None:
            self.print_logs()
        self.stop()

    def print_logs(self):
        for name in sorted(os.listdir(self.dir)):
            if name.endswith(".log"):
                with open(os.path.join(self.dir, name), encoding="utf-8", errors="replace") as log:
                    last_lines = log.readlines()[-15:]
                print(f"--- {name}\n{''.join(last_lines)}", flush=True)


def wait_for(condition, seconds, awaited):
    """Polls until the condition holds; raises TimeoutError after `seconds`, naming what was `awaited`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {seconds} s waiting for {awaited}")
