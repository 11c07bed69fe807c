"""SIGTERM of a gateway whose clients go on using the connections that they hold."""

import os
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import bed as beds  # noqa: E402
from replica import Replica, route, service  # noqa: E402

# horse-card of sabar-livery: 90 ms of work, deadline and time-out of 2 s; owner-portal has 4 replicas with 4 slots.
WORK_S, DEADLINE_MS = 0.09, 2000
GRACE_S = 6.0
# One request on another kept connection each 60 ms: 17 a second.
SPACING_S, LAST_S = 0.06, 5.9


def play(bed, has_trouble):
    record = bed.record
    replicas = [Replica(bed, "owner-portal", n, work=lambda request_id, path: WORK_S) for n in range(4)]
    bed.configure([route("horse-card", "/card/", "owner-portal", timeout_ms=DEADLINE_MS)], [service("owner-portal")])
    bed.start_gateways()
    gateway = bed.gateways[0]
    time.sleep(5)
    count = int(LAST_S / SPACING_S)
    results = {}

    def ask(connection, request_id):
        sent = record.add(f"client sends {request_id}")
        try:
            connection.sendall(beds.request_bytes(request_id, f"/card/{request_id}", DEADLINE_MS))
        except OSError as error:
            results[request_id] = (sent, f"connection ended without a complete answer ({error.strerror})", record.now())
            record.add(f"client {request_id}: {results[request_id][1]}")
            return
        answer = beds.read_response(connection, time.monotonic() + DEADLINE_MS / 1000)
        results[request_id] = (sent, answer, record.now())
        record.add(f"client {request_id}: {answer if isinstance(answer, str) else answer[0]}")

    connections = []
    for number in range(count):
        connection = socket.create_connection((beds.HOST, gateway.front), timeout=2)
        connections.append(connection)
        ask(connection, f"first-{number}")
        if results[f"first-{number}"][1][0] != 200:
            raise beds.CannotRun("a request before the SIGTERM was not served")
        # Spread over the time, so that no connection is idle for more than 12 s, four fifths of the idle time-out.
        if number % 4 == 3:
            time.sleep(0.01)
    start = time.monotonic()
    term_at = record.add("SIGTERM to the gateway" if has_trouble else "no SIGTERM")
    if has_trouble:
        gateway.process.send_signal(signal.SIGTERM)
    threads = []
    for number, connection in enumerate(connections):
        delay = start + 0.02 + number * SPACING_S - time.monotonic()
        if delay > 0:
            time.sleep(delay)
        thread = threading.Thread(target=ask, args=(connection, f"then-{number}"))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    time.sleep(0.5)
    if has_trouble and gateway.process.poll() is None:
        raise beds.CannotRun("the gateway has not ended")
    broken = []
    for request_id, (sent, answer, ended) in results.items():
        ran = next((replica for replica in replicas if request_id in replica.runs), None)
        if not isinstance(answer, str) or "ended without" not in answer or ran is None:
            continue
        # The excuses of the rule: the replica was at work in the last sixth of grace_s on a request sent up to 3 s after the
        # SIGTERM, or the deadline or the route's time-out was reached. No replica breaks off here.
        replica_end = ran.ended[request_id] if ran.ended[request_id] is not None else float("inf")
        is_long = sent - term_at <= 3.0 and replica_end >= term_at + GRACE_S * 5 / 6
        if is_long or ended - sent >= DEADLINE_MS / 1000:
            continue
        broken.append(f"{request_id}, sent {sent - term_at:.2f} s after the SIGTERM and run at {ran.id}: {answer} {ended - sent:.3f} s after it was sent")
    return broken


beds.main(HERE, play)
