"""Stand-ins and checks shared by the scripts of this review: a store, replicas and clients that follow the users' pages, and the
gateway processes, started with the command and the settings of the deploy file. Everything listens on the loopback interface."""

import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PAGE_ITEMS = 500
HISTORY_S = 20
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The script could not be carried out, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.out.write(f"{self.now():8.3f} {text}\n")
            self.out.flush()

    def say(self, text):
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)


class TolerantServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Connections may end at any time."""


class Server:
    """HTTP server with its own thread. `stop()` ends it like the end of its process: the listener and all connections close."""

    def __init__(self, handler, port=0):
        self.connections = set()
        server = self

        class Tracking(handler):
            def setup(self):
                super().setup()
                server.connections.add(self.connection)

            def finish(self):
                server.connections.discard(self.connection)
                super().finish()

        self.http = TolerantServer((HOST, port), Tracking)
        self.port = self.http.server_address[1]
        threading.Thread(target=self.http.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()

    def stop(self):
        try:
            self.http.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.http.socket.close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=self.http.shutdown, daemon=True).start()


class Store:
    """The platform's store: items, one revision counter, pages and watches."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 1
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                status, body = store.answer(self.path)
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        self.server = Server(Handler)

    def write(self, key, value):
        """Writes an item. The write is acknowledged when this returns."""
        with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(), "revision": self.revision, "created": created, "lease": 0}
            self.items[key] = item
            self.append(item)

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.append({"key": key, "revision": self.revision, "deleted": True})

    def append(self, event):
        now = time.monotonic()
        self.history.append((now, event))
        while self.history[0][0] < now - HISTORY_S:
            self.history.pop(0)
        self.changed.notify_all()

    def answer(self, path):
        url = urlparse(path)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        with self.changed:
            if url.path == "/v1/kv-key":
                item = self.items.get(query.get("key", ""))
                return (200, {**item, "store_revision": self.revision}) if item else (404, {"store_revision": self.revision})
            if url.path == "/v1/kv-range":
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > query.get("after", ""))
                return 200, {"items": [self.items[key] for key in keys[:PAGE_ITEMS]], "has_more": len(keys) > PAGE_ITEMS, "store_revision": self.revision}
            if url.path == "/v1/kv-watch":
                after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
                while True:
                    if self.history and self.history[0][1]["revision"] > after + 1 and after < self.revision:
                        return 410, {}
                    events = [event for _, event in self.history if event["revision"] > after and event["key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "store_revision": self.revision}
                    self.changed.wait(left)
        return 404, {}


class Replica:
    """One replica. `offset_ms` is what the clock of its machine shows beyond the true time."""

    def __init__(self, bed, service, replica_id, zone, capacity=4, work_s=0.06):
        self.bed, self.service, self.id, self.zone, self.capacity, self.work_s = bed, service, replica_id, zone, capacity, work_s
        self.offset_ms, self.state, self.alive, self.left = 0, "ready", False, False
        self.slots = threading.Semaphore(capacity)
        self.lock, self.running, self.waiting = threading.Lock(), 0, 0
        # (time, request id, instance) of all requests that arrived and were not answered with 421.
        self.arrivals = []
        self.port, self.server = 0, None
        replica = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = 65536

            def log_message(self, *_):
                pass

            def do_GET(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                replica.serve(self, body)

            do_POST = do_GET

        self.handler = Handler

    def clock_ms(self):
        return int(time.time() * 1000) + self.offset_ms

    def start(self):
        """Starts a process of the replica under its id. It knows nothing of an earlier one."""
        self.server = Server(self.handler, self.port)
        self.port = self.server.port
        self.born, self.seq, self.state, self.alive = self.clock_ms(), 0, "ready", True
        self.bed.record.write(f"replica {self.id} starts at {HOST}:{self.port} born {self.born}")
        self.report()

    def crash(self):
        self.alive = False
        self.bed.record.write(f"replica {self.id} crashes")
        self.server.stop()

    def report(self):
        self.seq += 1
        self.bed.store.write(f"servers/{self.id}", {"backend": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1", "capacity": self.capacity,
                                                    "state": self.state, "warmup_left_ms": 0, "seq": self.seq, "born": self.born})

    def serve(self, request, body):
        request_id, server = request.headers.get("X-Request-Id"), self.server
        if request.path == "/healthz":
            self.send(request, 200 if self.state == "ready" else 503, {"X-Instance-Id": self.id}, b"")
            return
        if not request_id:
            self.send(request, 400, {"X-Not-Executed": "1"}, b"")
            return
        headers = {"X-Request-Id": request_id}
        if request.headers.get("X-Expect-Instance") not in (None, self.id):
            self.send(request, 421, {**headers, "X-Instance-Id": self.id}, b"")
            return
        at = time.monotonic() - self.bed.record.start
        self.arrivals.append((at, request_id))
        self.bed.record.write(f"request {request_id} reaches {self.id}")
        deadline = time.monotonic() + float(request.headers.get("X-Deadline-Ms", "1000")) / 1000
        with self.lock:
            self.waiting += 1
        got = self.slots.acquire(timeout=max(0.0, deadline - time.monotonic()))
        with self.lock:
            self.waiting -= 1
            self.running += got
        if not got:
            self.send(request, 503, {**headers, "X-Not-Executed": "1"}, b"")
            return
        self.bed.record.write(f"request {request_id} runs at {self.id}")
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
            load = f"{self.running},{self.waiting},{self.capacity}"
        self.slots.release()
        if server is not self.server or not self.alive:
            request.close_connection = True
            return
        if self.state == "draining":
            headers["Connection"] = "close"
        self.send(request, 200, {**headers, "X-Server-Stamp": f"{self.id}.{request_id}", "X-Server-Load": load}, b"%s %s" % (request.command.encode(), request.path.encode()))

    @staticmethod
    def send(request, status, headers, body):
        try:
            request.send_response(status)
            for name, value in headers.items():
                request.send_header(name, value)
            request.send_header("Content-Length", str(len(body)))
            request.end_headers()
            request.wfile.write(body)
            request.wfile.flush()
        except OSError:
            request.close_connection = True


class Gateway:
    """One process of the deploy file's role."""

    def __init__(self, bed, name, zone, ports):
        self.bed, self.name, self.zone = bed, name, zone
        self.caller, self.ready, self.peer, self.metrics = ports
        self.file = os.path.join(bed.folder, f"{name}.json")
        self.log = os.path.join(bed.folder, f"{name}.log")
        self.process = None

    def start(self):
        bounds = self.bed.bounds
        settings = {"name": self.name, "zone": self.zone, "zones": {zone: "region" for zone in self.bed.zones}, "caller": f"{HOST}:{self.caller}", "readiness": f"{HOST}:{self.ready}",
                    "peer": f"{HOST}:{self.peer}", "metrics": f"{HOST}:{self.metrics}", "seeds": self.bed.seeds, "registry": {"address": f"{HOST}:{self.bed.store.server.port}"},
                    "reaction": {"drain_ms": bounds["drain_ms"], "config_ms": bounds["config_ms"]}, "repeats": {"ratio": bounds["retry_ratio"], "slack": bounds["retry_slack"]},
                    "processor_share": 0.25, "limits": {"memory_mb": 260, "descriptors": 4100}, "shutdown": {"grace_ms": bounds["grace_s"] * 1000}}
        with open(self.file, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as text:
            command = re.search(r'^run = "([^"]+)"', text.read(), re.M).group(1).split()
        command = [self.file if word.startswith("/etc/") else word for word in command]
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=out, env={"PATH": os.environ.get("PATH", ""), "LIMPETTRESTLE_NODE_FILE": self.file})

    def is_ready(self):
        try:
            with socket.create_connection((HOST, self.ready), timeout=1) as connection:
                connection.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Client(threading.Thread):
    """Sends one request after the other on a connection that it keeps. `make(number)` returns the method, path and body."""

    def __init__(self, bed, gateway, name, make, pause_s, deadline_ms):
        super().__init__(daemon=True)
        self.bed, self.gateway, self.client, self.make, self.pause_s, self.deadline_ms = bed, gateway, name, make, pause_s, deadline_ms
        self.stopping, self.connection = False, None
        # (sent at, ended at, request id, status or error, body).
        self.results = []

    def run(self):
        number = 0
        while not self.stopping:
            number += 1
            self.ask(f"{self.client}-{number}", *self.make(number))
            time.sleep(self.pause_s)

    def ask(self, request_id, method, path, body):
        record, sent, payload = self.bed.record, None, b""
        try:
            if self.connection is None:
                self.connection = socket.create_connection((HOST, self.gateway.caller), timeout=1)
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sent = record.now()
            record.write(f"request {request_id} {method} {path} sent to {self.gateway.name}")
            head = f"{method} {path} HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {self.deadline_ms}\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n" if body else "\r\n"
            self.connection.sendall(head.encode() + body)
            status, headers, payload = self.receive(time.monotonic() + self.deadline_ms / 1000 + 1)
            result = status
            if headers.get("connection", "").lower() == "close":
                self.drop()
        except OSError as error:
            result = type(error).__name__
            self.drop()
        sent = record.now() if sent is None else sent
        record.write(f"request {request_id} answered {result}")
        self.results.append((sent, record.now(), request_id, result, payload))

    def receive(self, end):
        data = b""
        while True:
            head, separator, body = data.partition(b"\r\n\r\n")
            if separator:
                lines = head.decode("latin-1").split("\r\n")
                headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
                if len(body) >= int(headers.get("content-length", 0)):
                    return int(lines[0].split()[1]), headers, body
            self.connection.settimeout(max(0.01, end - time.monotonic()))
            more = self.connection.recv(65536)
            if not more:
                raise ConnectionError("closed")
            data += more

    def drop(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class Bed:
    """Store, replicas and gateways of one script."""

    def __init__(self, folder, zones, bounds, heartbeat_s=1.2):
        self.record, self.zones, self.bounds, self.heartbeat_s = Record(folder), zones, bounds, heartbeat_s
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store, self.replicas, self.gateways, self.clients = Store(), [], [], []
        self.stopping, self.version = False, 0
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while not self.stopping:
            time.sleep(self.heartbeat_s)
            for replica in list(self.replicas):
                if replica.alive and not replica.left:
                    replica.report()

    def add_replica(self, *args, **options):
        replica = Replica(self, *args, **options)
        self.replicas.append(replica)
        replica.start()
        return replica

    def configure(self, routes, services):
        self.version += 3
        self.store.write("op/config", {"version": self.version, "routes": routes, "backends": services,
                                       "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def start_gateways(self, zones):
        ports = [free_ports(4) for _ in zones]
        self.seeds = [f"{HOST}:{ports[number][2]}" for number in range(min(3, len(zones)))]
        self.gateways = [Gateway(self, f"front-{zone}-{number}", zone, ports[number]) for number, zone in enumerate(zones)]
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            wait_for(gateway.is_ready, f"{gateway.name} is not ready", 15)

    def start_client(self, *args):
        client = Client(self, *args)
        self.clients.append(client)
        client.start()
        return client

    def close(self):
        for client in self.clients:
            client.stopping = True
        self.stopping = True
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


USED_PORTS = set()


def free_ports(count):
    """Returns ports below those that outgoing connections take."""
    import random

    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as text:
        first = int(text.read().split()[0])
    ports = []
    while len(ports) < count:
        port = random.randrange(first // 2, first)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            ports.append(port)
    return ports


def wait_for(condition, what, limit):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun(f"{what} after {limit} s")


def main(script, folder):
    """Runs `script(has_trouble)`, which returns true if the rule held, and exits with the code that the review asks for."""
    if not os.access(os.path.join(ROOT, "target", "limpettrestle-gateway"), os.X_OK):
        print("the deploy build is missing")
        sys.exit(NOT_RUN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        held = script(folder, os.environ.get("TROUBLE", "1") != "0")
        code = HELD if held else BROKEN
    except CannotRun as error:
        print(f"could not run: {error}")
        code = NOT_RUN
    sys.stdout.flush()
    os._exit(code)
