#!/usr/bin/env python3
"""Simulated platform with a registry: the store (range reads and watches) and replicas, with faults set by the tests.

Used by tests/gateway_process_test.py; everything listens on the loopback interface.
"""

import base64
import json
import socket
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

HOST = "127.0.0.1"
PAGE_SIZE = 20


class TolerantHttpServer(ThreadingHTTPServer):
    """HTTP server that ignores errors of connections, such as those that a caller closes early."""

    def handle_error(self, request, client_address):
        pass


class Server:
    """HTTP server that runs in its own thread."""

    def __init__(self, handler, port=0):
        self.http = TolerantHttpServer((HOST, port), handler)
        self.http.daemon_threads = True
        self.port = self.http.server_address[1]
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def close(self):
        self.http.shutdown()
        self.http.server_close()


class Store:
    """Items with revisions and their history. `fault` is None or the HTTP status returned for every call."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        # Number of refusals by request, over all replicas, for "shed_twice_copied".
        self.refusals = {}
        self.fault = None
        self.calls = 0
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                store.calls += 1
                status, body = store.answer(self.path)
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        self.server = Server(Handler)

    def write(self, key, value):
        encoded = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            item = {"key": key, "value": base64.b64encode(encoded).decode(), "revision": self.revision, "created": self.revision, "lease": 0}
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.history.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def forget_history(self):
        with self.changed:
            self.history = []
            self.oldest = self.revision

    # Revision before which the history has been discarded.
    oldest = 0

    def answer(self, path):
        if self.fault:
            return self.fault, {}
        url = urlparse(path)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if url.path == "/v1/kv-range":
            with self.changed:
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
                return 200, {"items": [self.items[k] for k in keys[:PAGE_SIZE]], "has_more": len(keys) > PAGE_SIZE, "store_revision": self.revision}
        if url.path == "/v1/kv-watch":
            after = int(query["after"])
            deadline = time.monotonic() + int(query["wait_ms"]) / 1000
            with self.changed:
                if after < self.oldest:
                    return 410, {}
                while True:
                    events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
                    remaining = deadline - time.monotonic()
                    if events or remaining <= 0:
                        return 200, {"events": events, "store_revision": self.revision}
                    self.changed.wait(remaining)
        return 404, {}


class Replica:
    """One replica that registers itself in the store.

    `delay` is the duration of a call in seconds. `mode` is "ok", "shed" (refuses calls with status 503), "silent"
    (accepts calls without a reply), "copies" (sends each reply again after 5 ms), "copies_without_id" (the second one
    without the request's ID), "shed_once_copied" (refuses the first call of each request, and sends the refusal again
    after 30 ms), "shed_twice_copied" (the first two calls of each request whose ID begins with "p" are refused, the second one
    after a pause of 150 ms, and the first refusal comes again after 300 ms), or one of `BROKEN_REPLIES` (ends the reply halfway).
    `script`, if set, makes the bytes of each reply from its fields, as a dictionary, and its body. A request whose path contains `crashes_on` ends the
    replica's process: its connections and its listener close, and it is back after `restart_after` seconds.
    """

    # Ways to end a reply of which half of the body has been sent.
    BROKEN_REPLIES = ("short_body", "short_chunk", "reset_body", "reset_unframed")

    def __init__(self, store, service, number, zone="z1", records=(), delay=0.0):
        self.store, self.service, self.zone = store, service, zone
        self.id = f"i-{service}-{number}"
        self.records = list(records)
        self.delay, self.mode, self.runs, self.seq, self.state = delay, "ok", [], 0, "ready"
        self.script = None
        # Port that the replica registers instead of its own, when callers reach it through a proxy.
        self.reported_port = None
        self.born = int(time.time() * 1000)
        # IDs of the requests that "shed_once_copied" has refused.
        self.refused = set()
        self.paused_until = 0.0
        self.crashes_on, self.restart_after, self.crash_delay = None, 1.5, 0.03
        # Times of the crashes, and the open connections, which end with the process.
        self.crashes, self.connections, self.crashing = [], set(), threading.Lock()
        replica = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def setup(self):
                super().setup()
                replica.connections.add(self.connection)

            def finish(self):
                replica.connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                replica.serve(self)

            do_POST = do_GET

        self.handler = Handler
        self.server = Server(Handler)
        self.report()

    def report(self):
        self.seq += 1
        self.store.write(f"servers/{self.id}", {"backend": self.service, "address": f"{HOST}:{self.reported_port or self.server.port}", "zone": self.zone, "version": "v1",
                                                "capacity": 2, "state": self.state, "warmup_left_ms": 0, "seq": self.seq, "born": self.born})

    def drain(self):
        self.state = "draining"
        self.report()

    def crash(self):
        """Ends the process, and starts another one under the same ID and address later."""
        if not self.crashing.acquire(blocking=False):
            return
        self.crashes.append(time.monotonic())
        server, self.state = self.server, "down"
        # Closing alone would leave the socket to the thread that waits for connections.
        server.http.socket.shutdown(socket.SHUT_RDWR)
        server.http.socket.close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Timer(self.restart_after, self.restart).start()

    def restart(self):
        self.server.close()
        self.server = Server(self.handler, self.server.port)
        self.born, self.seq, self.state = int(time.time() * 1000), 0, "ready"
        self.report()
        self.crashing.release()

    def serve(self, request):
        time.sleep(max(0.0, self.paused_until - time.monotonic()))
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", ""), "X-Server-Load": "0,0,2"}
        status, body = 200, b""
        if request.headers.get("X-Expect-Instance") not in (None, self.id):
            status, headers["X-Instance-Id"] = 421, self.id
        elif self.mode == "shed" or self.refuses_twice(headers["X-Request-Id"]) or (self.mode == "shed_once_copied" and headers["X-Request-Id"] not in self.refused):
            status, headers["X-Not-Executed"] = 503, "1"
            self.refused.add(headers["X-Request-Id"])
        else:
            self.runs.append((time.monotonic(), request.headers.get("X-Request-Id"), request.path, request.headers.get("X-Deadline-Ms")))
            if self.mode == "silent":
                time.sleep(5)
                return
            if self.crashes_on and self.crashes_on in request.path:
                time.sleep(self.crash_delay)
                self.crash()
                request.close_connection = True
                return
            time.sleep(self.delay)
            headers["X-Server-Stamp"] = f"{self.id}.{request.headers.get('X-Request-Id')}"
            body = b"".join(self.records) if self.records else f"{request.command} {request.path}".encode()
        if self.script:
            request.wfile.write(self.script(headers, body))
            return
        if self.mode in self.BROKEN_REPLIES:
            self.break_off(request, headers, body)
            return
        if status == 503 and self.mode == "shed_twice_copied":
            self.refuse_copied(request, headers)
            return
        self.send_reply(request, status, headers, body)
        if self.mode.startswith("copies") or (self.mode == "shed_once_copied" and status == 503):
            time.sleep(0.03 if status == 503 else 0.005)
            if self.mode == "copies_without_id":
                del headers["X-Request-Id"]
            self.send_reply(request, status, headers, body)

    def refuses_twice(self, request_id):
        return self.mode == "shed_twice_copied" and request_id.startswith("p") and self.store.refusals.get(request_id, 0) < 2

    def refuse_copied(self, request, headers):
        request_id = headers["X-Request-Id"]
        earlier = self.store.refusals.get(request_id, 0)
        self.store.refusals[request_id] = earlier + 1
        if earlier == 1:
            self.paused_until = time.monotonic() + 0.15
            time.sleep(0.15)
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        refusal = f"HTTP/1.1 503 Busy\r\n{fields}Content-Length: 0\r\n\r\n".encode()
        request.connection.sendall(refusal)
        if earlier == 0:
            threading.Timer(0.3, self.send_late, (request.connection, refusal)).start()

    @staticmethod
    def send_late(connection, data):
        try:
            connection.sendall(data)
        except OSError:
            pass

    @staticmethod
    def send_reply(request, status, headers, body):
        request.send_response(status)
        for name, value in headers.items():
            request.send_header(name, value)
        request.send_header("Content-Length", str(len(body)))
        request.end_headers()
        request.wfile.write(body)

    def break_off(self, request, headers, body):
        """Sends half of a body and ends the connection."""
        request.send_response(200)
        for name, value in headers.items():
            request.send_header(name, value)
        if self.mode == "short_chunk":
            request.send_header("Transfer-Encoding", "chunked")
        elif self.mode != "reset_unframed":
            request.send_header("Content-Length", str(len(body)))
        request.end_headers()
        half = body[:len(body) // 2]
        request.wfile.write(b"%x\r\n%s\r\n" % (len(half), half) if self.mode == "short_chunk" else half)
        request.wfile.flush()
        request.close_connection = True
        if self.mode.startswith("reset"):
            request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            request.connection.close()


class Heartbeats:
    """Reports all registered replicas every `period` seconds while their store works."""

    def __init__(self, replicas, period=0.3):
        self.replicas, self.period, self.stopping = replicas, period, False
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.stopping:
            time.sleep(self.period)
            for replica in list(self.replicas):
                if replica.state != "down" and not self.is_store_failing(replica) and f"servers/{replica.id}" in replica.store.items:
                    replica.report()

    @staticmethod
    def is_store_failing(replica):
        return replica.store.fault is not None
