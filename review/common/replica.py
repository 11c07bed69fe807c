"""Stand-in of a sound replica: registers itself, runs `capacity` requests at once, queues a few more, rejects the rest."""

import json
import socket
import struct
import threading
import time

from bed import HOST


class Replica:
    """`work(request_id, path)` returns the seconds that a request takes. Subclasses change how it answers."""

    def __init__(self, bed, service, number, capacity=4, queue=16, work=lambda request_id, path: 0.09, zone="z1"):
        self.bed, self.service, self.capacity, self.queue, self.work, self.zone = bed, service, capacity, queue, work, zone
        self.id = f"i-{service}-{number}"
        self.seq, self.state, self.born = 0, "ready", int(time.time() * 1000)
        self.lock = threading.Condition()
        self.running = self.waiting = 0
        # Request id: [times at which a run began], and the time at which the last one ended (None: still at work).
        self.runs, self.ended = {}, {}
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.connections = set()
        threading.Thread(target=self.accept, daemon=True).start()
        bed.replicas.append(self)
        self.report()

    def report(self):
        self.seq += 1
        self.bed.store.write(f"servers/{self.id}", {"backend": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1",
                                                    "capacity": self.capacity, "state": self.state, "warmup_left_ms": 0, "seq": self.seq, "born": self.born})

    def end(self):
        """Ends the process: nobody listens any more, and the connections are reset."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.add(connection)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        data = b""
        state = {"sent": 0}
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    more = connection.recv(65536)
                    if not more:
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
                length = int(headers.get("content-length", 0))
                while len(data) < length:
                    more = connection.recv(65536)
                    if not more:
                        return
                    data += more
                body, data = data[:length], data[length:]
                method, path, _ = lines[0].split(" ", 2)
                self.handle(connection, state, method, path, headers, body)
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def handle(self, connection, state, method, path, headers, body):
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            self.answer(connection, 421, request_id, {"X-Not-Executed": "1"}, b"")
            return
        with self.lock:
            if self.running >= self.capacity and self.waiting >= self.queue:
                full = True
            else:
                full = False
                self.waiting += 1
                while self.running >= self.capacity:
                    self.lock.wait()
                self.waiting -= 1
                self.running += 1
        if full:
            self.bed.record.add(f"{self.id} rejects {request_id}: full, not executed")
            self.answer(connection, 503, request_id, {"X-Not-Executed": "1"}, b"")
            return
        self.run(connection, method, path, request_id, body)

    def run(self, connection, method, path, request_id, body):
        at = self.bed.record.add(f"{self.id} runs {request_id}")
        self.runs.setdefault(request_id, []).append(at)
        self.ended[request_id] = None
        time.sleep(self.work(request_id, path))
        self.ended[request_id] = self.bed.record.now()
        with self.lock:
            self.running -= 1
            self.lock.notify()
        self.answer(connection, 200, request_id, {"X-Server-Stamp": f"{self.id}.{request_id}"}, f"{method} {path}".encode() + b" " + body)
        self.bed.record.add(f"{self.id} has answered {request_id}")

    def answer(self, connection, status, request_id, headers, body):
        connection.sendall(self.encode(status, request_id, headers, body))

    def encode(self, status, request_id, headers, body):
        load = f"{self.running},{self.waiting},{self.capacity}"
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request_id}", f"X-Server-Load: {load}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def route(name, prefix, service, kind="idempotent", timeout_ms=2000, target_ms=400, max_attempts=2):
    return {"name": name, "hostname": "app.example", "prefix": prefix, "route_type": kind, "timeout_ms": timeout_ms, "target_latency_ms": target_ms,
            "priority": 2, "backend": service, "max_attempts": max_attempts}


def service(name, max_conns=44):
    return {"name": name, "health_path": "/healthz", "max_conns": max_conns, "protocol": "h1", "tls": False}
