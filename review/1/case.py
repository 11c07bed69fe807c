"""Second copies of refusals on a connection that carries the same request twice, with another one in between."""

import os
import random
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import bed as beds  # noqa: E402
from replica import Replica, route, service  # noqa: E402

# Two slots each, as on the sheet of yard-desk, and its pauses of 120 ms each 3 s; 20 ms of work.
WORK_S, PAUSE_S, PAUSE_EVERY_S, READ_AFTER_S, ROUNDS = 0.02, 0.12, 3.0, 0.07, 26
# garble of sabar-livery: share 0.5 of the replicas, x 0.03 of the answers, for 5.5 s; here every 11 s.
SUBMIT_WORK_S, COPIED_SHARE, GARBLED_S = 0.06, 0.03, 5.5
DEADLINE_MS = 1000
# Times from the first arrival of a submission: the replica that got it is full until the first one, the other one until the second.
FREE_AFTER_S, OTHER_FREE_AFTER_S = 0.01, PAUSE_S + 0.005


class BusyReplica(Replica):
    """Full and paused at times set by the script. Within a garbled period, a second copy of a refusal follows 60 to 200 ms
    later, at 3 of 100 answers of the period at most."""

    period = -1
    partner = None
    answers = copies = 0
    full_until = pause_until = 0.0
    random = random.Random(7)

    def handle(self, connection, state, method, path, headers, body):
        request_id = headers.get("x-request-id", "")
        if request_id.startswith("submit") and request_id not in self.bed.arrived:
            self.bed.arrived.add(request_id)
            now = time.monotonic()
            self.full_until, self.partner.pause_until, self.partner.full_until = now + FREE_AFTER_S, now + PAUSE_S, now + OTHER_FREE_AFTER_S
        time.sleep(max(0.0, self.pause_until - time.monotonic()))
        if time.monotonic() >= self.full_until:
            super().handle(connection, state, method, path, headers, body)
            return
        self.bed.record.add(f"{self.id} rejects {request_id}: full, not executed")
        refusal = self.encode(503, request_id, {"X-Not-Executed": "1"}, b"")
        connection.sendall(refusal)
        self.count_answer()
        if self.is_garbled() and self.copies + 1 <= COPIED_SHARE * self.answers:
            self.copies += 1
            threading.Timer(self.random.uniform(0.06, 0.2), self.send_copy, (connection, request_id, refusal)).start()

    def answer(self, connection, status, request_id, headers, body):
        self.count_answer()
        super().answer(connection, status, request_id, headers, body)

    def count_answer(self):
        period = int(self.bed.record.now() // (2 * GARBLED_S))
        if period != self.period:
            self.period, self.answers, self.copies = period, 0, 0
        self.answers += 1

    def is_garbled(self):
        """One of the two replicas is garbling in a period: the first one that rejects a request then."""
        if not self.bed.has_trouble or self.bed.record.now() % (2 * GARBLED_S) >= GARBLED_S:
            return False
        return self.bed.garbling.setdefault(self.period, self) is self

    def send_copy(self, connection, request_id, refusal):
        try:
            connection.sendall(refusal)
            self.bed.record.add(f"{self.id} sends its refusal of {request_id} a second time")
        except OSError:
            pass


def play(bed, has_trouble):
    record = bed.record
    bed.arrived = set()
    replicas = [BusyReplica(bed, "desk", n, capacity=2, queue=12, work=lambda request_id, path: SUBMIT_WORK_S if path.startswith("/submit/") else WORK_S) for n in range(2)]
    replicas[0].partner, replicas[1].partner = replicas[1], replicas[0]
    bed.has_trouble, bed.garbling = has_trouble, {}
    bed.configure([route("submit", "/submit/", "desk", kind="non_idempotent", timeout_ms=DEADLINE_MS, target_ms=100),
                   route("read", "/read/", "desk", timeout_ms=DEADLINE_MS, target_ms=100)], [service("desk", 26)])
    bed.start_gateways()
    gateway = bed.gateways[0]
    time.sleep(4)
    answers = {}

    def ask(request_id, method, path, body=b""):
        record.add(f"client sends {request_id}")
        with socket.create_connection((beds.HOST, gateway.front), timeout=2) as connection:
            connection.sendall(beds.request_bytes(request_id, path, DEADLINE_MS, method, body))
            answer = beds.read_response(connection, time.monotonic() + DEADLINE_MS / 1000)
        answers[request_id] = answer if isinstance(answer, str) else answer[0]
        record.add(f"client {request_id}: {answers[request_id]}")

    for number in range(20):
        ask(f"warm-{number}", "GET", "/read/x")
    for number in range(ROUNDS):
        begin, n = time.monotonic(), 0
        while time.monotonic() < begin + PAUSE_EVERY_S:
            n += 1
            ask(f"before-{number}-{n}", "GET", f"/read/{number}/{n}")
        submission = threading.Thread(target=ask, args=(f"submit-{number}", "POST", f"/submit/{number}", b"stall=7"))
        submission.start()
        # A read of another caller, while the submission waits for the second replica.
        time.sleep(READ_AFTER_S)
        ask(f"read-{number}", "GET", f"/read/{number}")
        submission.join()
    broken = []
    for request_id, answer in answers.items():
        runs = sum(len(replica.runs.get(request_id, ())) for replica in replicas)
        if not request_id.startswith("submit"):
            continue
        if runs > 1:
            broken.append(f"TWICE: {request_id} ran {runs} times")
        elif runs and answer in (408, 421, 429, 503):
            broken.append(f"REFUSED: {request_id} was answered {answer} and ran")
    if sum(answer == 200 for answer in answers.values()) < len(answers) / 2:
        raise beds.CannotRun("less than half of the requests were served")
    return broken


beds.main(HERE, play)
