"""A TCP proxy on a loopback address that can stop passing anything on, as a partition does."""

import socket
import threading

from bed import HOST


class Proxy:
    def __init__(self, target_port):
        self.target_port = target_port
        self.passes = threading.Event()
        self.passes.set()
        self.listener = socket.create_server((HOST, 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        self.passes.clear()

    def heal(self):
        self.passes.set()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near):
        self.passes.wait()
        try:
            far = socket.create_connection((HOST, self.target_port), timeout=2)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        threading.Thread(target=self.pump, args=(near, far), daemon=True).start()
        self.pump(far, near)

    def pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                # Bytes and ends of connections are held up by the cut.
                self.passes.wait()
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        for one in (source, sink):
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
