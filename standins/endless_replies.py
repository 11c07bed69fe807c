#!/usr/bin/env python3
"""Replicas whose replies never end, and callers that ask a gateway for them.

Prints "started" when the ports are open and the requests are sent. Runs until it is terminated.
"""

import argparse
import selectors
import socket
import time

HOST = "127.0.0.1"
# What is sent first, and what is sent again and again after it.
KINDS = {"body": (b"HTTP/1.1 200 OK\r\n\r\n", b"z" * 4096),
         "head": (b"HTTP/1.1 200 OK\r\n", b"X:\r\n" * 1024),
         "chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nz\r\n" * 682),
         "bytes": (b"\x00\xff" * 16, b"\x00\xff" * 2048)}


def listen(port):
    listener = socket.create_server((HOST, port), backlog=256)
    listener.setblocking(False)
    return listener


def send_requests(port, count):
    """Sends requests on connections of their own without waiting for the answers."""
    callers = []
    for number in range(count):
        caller = socket.create_connection((HOST, port))
        caller.sendall(f"GET /flood/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: f{number}\r\nX-Deadline-Ms: 4000\r\n\r\n".encode())
        callers.append(caller)
    return callers


class Replies:
    """Connections of the gateway, each of which gets bytes until it is closed."""

    def __init__(self, ports, pause_ms, kind):
        self.first, self.block = KINDS[kind]
        self.selector = selectors.DefaultSelector()
        self.pause = pause_ms / 1000
        self.started = set()
        for port in ports:
            self.selector.register(listen(port), selectors.EVENT_READ, "listener")

    def step(self):
        for key, _ in self.selector.select(timeout=0.005):
            if key.data == "listener":
                connection = key.fileobj.accept()[0]
                connection.setblocking(False)
                self.selector.register(connection, selectors.EVENT_READ, "connection")
            elif self.receive(key.fileobj):
                self.started.add(key.fileobj)
        for connection in list(self.started):
            self.send(connection, self.block)
        if self.pause:
            time.sleep(self.pause)

    def receive(self, connection):
        try:
            data = connection.recv(4096)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if not data:
            self.drop(connection)
            return False
        self.send(connection, self.first)
        return True

    def send(self, connection, data):
        try:
            connection.send(data)
        except BlockingIOError:
            pass
        except OSError:
            self.drop(connection)

    def drop(self, connection):
        self.started.discard(connection)
        try:
            self.selector.unregister(connection)
        except (KeyError, ValueError):
            pass
        connection.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ports", type=int, nargs="+", required=True, help="ports of the replicas")
    parser.add_argument("--pause-ms", type=int, default=0, help="pause between two blocks of 4 kB")
    parser.add_argument("--kind", choices=sorted(KINDS), default="body")
    parser.add_argument("--gateway", type=int, required=True, help="port of the gateway for callers")
    parser.add_argument("--requests", type=int, default=200)
    options = parser.parse_args()
    replies = Replies(options.ports, options.pause_ms, options.kind)
    callers = send_requests(options.gateway, options.requests)
    print("started", flush=True)
    while callers:
        replies.step()


if __name__ == "__main__":
    main()
