#!/usr/bin/env python3
"""Failures that operators of similar systems have reported, provoked on gateways that run as real processes.

Usage: tests/gateway_failures_test.py [NAME...]
"""

import http.client
import json
import signal
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler

import gateway_process_test as base
from gateway_process_test import HOST, Gateway, require, wait_for
from registry_platform import Server


def card_replicas(cluster):
    return [replica for replica in cluster.replicas if replica.service == "card"]


def run_threads(target, count):
    threads = [threading.Thread(target=target, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def late_copies_reach_nobody(cluster):
    """Second copies of answers, with and without an ID, on connections in use: each caller gets its own answer."""
    for mode in ("copies", "copies_without_id"):
        for replica in card_replicas(cluster):
            replica.mode = mode
        wrong, answered = [], []

        def load(number, mode=mode, wrong=wrong, answered=answered):
            for index in range(40):
                path = f"/card/{mode}-{number}-{index}"
                status, headers, body = cluster.gateways[0].request(path, f"{mode}-{number}-{index}", "POST", b"x")
                if status == 200:
                    answered.append(path)
                    if body != f"POST {path}".encode() or not headers["X-Server-Stamp"].endswith(f".{mode}-{number}-{index}"):
                        wrong.append((path, body))

        run_threads(load, 4)
        require(not wrong, f"{mode}: answers of other requests: {wrong[:3]}")
        require(len(answered) >= 100, f"{mode}: only {len(answered)} of 160 requests were answered")


def late_refusal_is_no_answer_to_the_repeat(cluster):
    """The second copy of a refusal does not pass for the answer to the repeat of the same request, which runs."""
    replica, other = card_replicas(cluster)
    cluster.store.remove(f"servers/{other.id}")
    replica.mode, replica.delay = "shed_once_copied", 0.1
    time.sleep(1.5)
    refused = set()
    for number in range(30):
        if cluster.gateways[0].request("/card/x", f"once-{number}", "POST", b"x")[0] == 503:
            refused.add(f"once-{number}")
        time.sleep(0.06)
    runs = [run[1] for run in replica.runs]
    require(runs, "no request was run")
    require(len(runs) == len(set(runs)), "a request ran more than once")
    require(not refused & set(runs), f"answered as not run, but ran: {sorted(refused & set(runs))[:3]}")


def stop_answers_what_was_accepted(cluster):
    """Until the process ends, each request that a replica runs is answered, also on connections opened during the stop."""
    gateway = cluster.gateways[1]
    for replica in card_replicas(cluster):
        replica.delay = 0.2
    answered, ended = set(), []

    def load(number):
        index = 0
        while not ended:
            index += 1
            request_id = f"s{number}-{index}"
            try:
                if gateway.request("/card/x", request_id, "POST", b"x")[0] == 200:
                    answered.add(request_id)
            except (OSError, http.client.HTTPException):
                if gateway.process.poll() is not None:
                    return

    threads = [threading.Thread(target=load, args=(number,)) for number in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    gateway.process.send_signal(signal.SIGTERM)
    require(gateway.process.wait(10) == 0, "does not exit within the grace period")
    ended.append(True)
    for thread in threads:
        thread.join()
    runs = {run[1] for replica in card_replicas(cluster) for run in replica.runs}
    require(len(answered) > 20, f"only {len(answered)} answers")
    require(runs <= answered, f"{len(runs - answered)} of {len(runs)} requests ran and were not answered: {sorted(runs - answered)[:3]}")


def restart_does_not_bring_back_what_left(cluster):
    """Neither a restarted reader nor a restarted follower uses a replica that left, though a suspended reader knows it."""
    left = cluster.replicas[0]
    old_reader = cluster.gateways[1]
    old_reader.process.send_signal(signal.SIGSTOP)
    cluster.store.remove(f"servers/{left.id}")
    time.sleep(3)
    restarted = [cluster.gateways[2], cluster.gateways[0]]
    for gateway in restarted:
        gateway.process.kill()
        gateway.process.wait()
    old_reader.process.send_signal(signal.SIGCONT)
    before = len(left.runs)
    for gateway in restarted:
        gateway.start()
    for gateway in restarted:
        wait_for(gateway.is_ready, "a restarted gateway is not ready")
        for number in range(10):
            require(gateway.request("/all/q", f"r{gateway.number}-{number}")[0] == 200, "a restarted gateway does not serve")
    require(len(left.runs) == before, "a replica that had left is in use after a restart")


def malformed_messages_end_no_process(cluster):
    """Malformed and deeply nested messages of other instances and entries of the registry are refused one by one."""
    gateway = cluster.gateways[0]
    nested = 200000
    messages = [b"", b"\xc1", b"\x91" * nested, b"\x81\xa1a" * (nested // 3), b"\xdd\xff\xff\xff\xff", b"\xdb\xff\xff\xff\xffx", b"\xc6\xff\xff\xff\xff",
                b"[" * nested, b'{"a":' * (nested // 5), b"\x9b" + b"\xc0" * 11, b"null", b"\xff" * 1000]
    for path in ("/gather", "/reach"):
        for message in messages:
            status = Gateway.get(gateway.peer, path, {}, "POST", message)[0]
            require(status == 400, f"{path} answers {status} to {message[:20]}")
    for target in ("/changes", "/changes?", "/changes?run=-1", "/changes?hold=99999999999999999999", "/changes?run=1&address=x", "/changes?era=a", "/" + "%" * 100):
        require(Gateway.get(gateway.peer, target)[0] in (200, 400, 503), f"no answer to {target}")
    for value in (b"[" * nested, b'{"backend":' * 1000, b"\x00" * 100, {"backend": "s0", "address": "x:y", "zone": 1}):
        cluster.store.write("servers/i-odd", value)
        cluster.store.write("op/config", value)
    time.sleep(1.5)
    for number, each in enumerate(cluster.gateways):
        require(each.process.poll() is None, f"gateway n{number} has ended")
        require(each.request("/all/q", f"m{number}")[0] == 200, f"gateway n{number} does not serve")


def silence_does_not_end_running_work(cluster):
    """A replica whose registration lapses keeps the request that it runs."""
    replicas = card_replicas(cluster)
    for replica in replicas:
        replica.delay = 1.0
    answers = []
    caller = threading.Thread(target=lambda: answers.append(cluster.gateways[0].request("/card/x", "kept", "POST", b"x")))
    caller.start()
    wait_for(lambda: any(replica.runs for replica in replicas), "the request did not start")
    running = next(replica for replica in replicas if replica.runs)
    cluster.store.remove(f"servers/{running.id}")
    caller.join()
    require(answers[0][0] == 200, f"the running request was given up: {answers[0][0]}")
    require(sum(len(replica.runs) for replica in replicas) == 1, "the request was started again elsewhere")


def broken_answers_are_no_success(cluster):
    """An answer that breaks off halfway is neither passed on as a success nor merged."""
    whole = Gateway.get(cluster.gateways[0].caller, "/all/q", {"Host": "app.example", "X-Request-Id": "w"})[2]
    for mode in base.Replica.BROKEN_REPLIES:
        broken = [*card_replicas(cluster), cluster.replicas[0], cluster.replicas[1]]
        for replica in broken:
            replica.mode = mode
        status, _, body = cluster.gateways[0].request("/card/x", f"b-{mode}", "POST", b"x")
        require(status == 502, f"{mode}: answered {status} {body}")
        status, headers, body = cluster.gateways[0].request("/all/q", f"a-{mode}")
        require(status == 200 and headers.get("X-Missing-Parts") == "1", f"{mode}: {status} {headers}")
        require(not any(record.startswith(b"\x01") for record in (body[i:i + 16] for i in range(0, len(body), 16))), f"{mode}: records of a broken part were merged")
        for replica in broken:
            replica.mode = "ok"
        time.sleep(1.2)
    require(cluster.gateways[0].request("/all/q", "after")[2] == whole, "does not recover")


def encode_reply(status_line, fields, body, extra=b"", trailers=None, chunk_end=b"\r\n"):
    """Bytes of a reply with the lines `extra` in its head, in one chunk if it has trailers."""
    head = status_line + b"\r\n" + extra + b"".join(f"{name}: {value}\r\n".encode() for name, value in fields.items())
    if trailers is None:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    return head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body) + body + chunk_end + b"0\r\n" + trailers + b"\r\n"


OK = b"HTTP/1.1 200 OK"
# Replies that are no valid HTTP, by what is wrong with them.
INVALID_REPLIES = {
    **{f"status {status}": lambda fields, body, status=status: encode_reply(b"HTTP/1.1 %s OK" % status.encode(), fields, body) for status in ("000", "099", "600", "999", "0200")},
    "space in a name": lambda fields, body: encode_reply(OK, fields, body, b"X Odd: 1\r\n"),
    "space before the colon": lambda fields, body: encode_reply(OK, fields, body, b"X-Odd : 1\r\n"),
    "space before a name": lambda fields, body: encode_reply(OK, fields, body, b" X-Odd: 1\r\n"),
    "continued line": lambda fields, body: encode_reply(OK, fields, body, b"X-Odd: 1\r\n X-Odder: 2\r\n"),
    "control byte in a name": lambda fields, body: encode_reply(OK, fields, body, b"X\x01Odd: 1\r\n"),
    "length with a space before the colon": lambda fields, body: (OK + b"\r\n" + b"".join(f"{name}: {value}\r\n".encode() for name, value in fields.items())
                                                                  + b"Content-Length : %d\r\nConnection: close\r\n\r\n" % len(body) + body + b"and more"),
    "space in a name of an interim head": lambda fields, body: b"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + encode_reply(OK, fields, body),
    "space in a name of the trailers": lambda fields, body: encode_reply(OK, fields, body, trailers=b"X Odd: 1\r\n"),
    "control byte in the reason": lambda fields, body: encode_reply(b"HTTP/1.1 200 O\x01K", fields, body),
    "other bytes for the line end behind a chunk": lambda fields, body: encode_reply(OK, fields, body, trailers=b"", chunk_end=b"XY"),
}


def ask_or_describe(gateway, path, request_id, method="GET", body=None):
    """Returns the status, headers and body, or instead of a status the problem of an answer that cannot be read."""
    try:
        return gateway.request(path, request_id, method, body)
    except (http.client.HTTPException, OSError) as problem:
        return repr(problem), {}, b""


def invalid_answers_reach_nobody(cluster):
    """An answer that is no valid HTTP is neither passed on nor merged, whatever is wrong with it."""
    gateway = cluster.gateways[0]
    broken = [*card_replicas(cluster), cluster.replicas[0], cluster.replicas[1]]
    passed_on = []
    for number, (what, script) in enumerate(INVALID_REPLIES.items()):
        for replica in broken:
            replica.script = script
        status, headers, body = ask_or_describe(gateway, "/card/x", f"i{number}", "POST", b"x")
        if status != 502 or "X-Server-Stamp" in headers or b"/card/x" in body:
            passed_on.append((what, status, headers, body))
        status, headers, body = ask_or_describe(gateway, "/all/q", f"j{number}")
        if status != 200 or headers.get("X-Missing-Parts") != "1" or b"\x01" in body[::16]:
            passed_on.append((what, "search", status, headers.get("X-Missing-Parts")))
        for replica in broken:
            replica.script = None
        time.sleep(1.2)
    require(not passed_on, "passed on:\n" + "\n".join(map(str, passed_on)))
    require(gateway.request("/card/x", "after", "POST", b"x")[::2] == (200, b"POST /card/x"), "does not recover")


def body_of_a_204_reaches_nobody(cluster):
    """Bytes behind the head of an answer with status 204 are not sent to the caller."""
    framings = {"length": lambda fields, body: encode_reply(b"HTTP/1.1 204 No Content", fields, body),
                "chunks": lambda fields, body: encode_reply(b"HTTP/1.1 204 No Content", fields, body, trailers=b"")}
    for framing, script in framings.items():
        for replica in card_replicas(cluster):
            replica.script = script
        requests = [f"POST /card/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: n-{framing}-{number}\r\nX-Deadline-Ms: 2000\r\nContent-Length: 1\r\n{fields}\r\nx"
                    for number, fields in enumerate(("", "Connection: close\r\n"))]
        with socket.create_connection((HOST, cluster.gateways[0].caller), timeout=5) as connection:
            connection.sendall("".join(requests).encode())
            received = b"".join(iter(lambda c=connection: c.recv(4096), b""))
        heads = received.split(b"\r\n\r\n")
        require(len(heads) == 3 and heads[2] == b"" and all(head.startswith(b"HTTP/1.1 204 ") for head in heads[:2]), f"{framing}: {received}")


def long_keep_alive_keeps_connections(cluster):
    """Replicas that keep idle connections for weeks get no more connections than others."""
    for replica in card_replicas(cluster):
        replica.script = lambda fields, body: encode_reply(OK, {**fields, "Keep-Alive": "timeout=2200000"}, body)
    base.connections_are_kept(cluster)


def evacuated_zones(gateway):
    return {entry["zone"] for entry in json.loads(Gateway.get(gateway.metrics, "/status")[2])["evacuated_zones"]}


def evacuated_zone_gets_nothing(cluster):
    """Nothing reaches the replicas of an evacuated zone, also from an instance that is started while the store is away."""
    elsewhere = base.Replica(cluster.store, "card", 9, zone="z2")
    cluster.replicas.append(elsewhere)
    for gateway in cluster.gateways:
        wait_for(lambda g=gateway: json.loads(Gateway.get(g.metrics, "/status")[2])["replicas"] == len(cluster.replicas), "the added replica is not listed")
    cluster.store.write("op/evacuate/z1", b"\xff no JSON")
    for gateway in cluster.gateways:
        wait_for(lambda g=gateway: evacuated_zones(g) == {"z1"}, "the evacuation is not in force within half of the reaction time", 0.5)
    time.sleep(0.3)
    inside = [replica for replica in cluster.replicas if replica is not elsewhere]
    before = [len(replica.runs) for replica in inside]

    def require_nothing_inside(word):
        for number, gateway in enumerate(cluster.gateways):
            status, headers, _ = gateway.request("/all/q", f"{word}-{number}")
            require(status == 503 and "Retry-After" in headers, f"{word}: a search without replicas is answered with {status} {headers}")
            require(gateway.request("/card/x", f"{word}-c{number}", "POST", b"x")[0] == 200, f"{word}: the replica of the other zone is not used")
            require(gateway.is_ready(), f"{word}: not ready during an evacuation")
        require([len(replica.runs) for replica in inside] == before, f"{word}: replicas of the evacuated zone got requests")

    require_nothing_inside("all")
    cluster.store.fault = 503
    for reader in cluster.gateways[:2]:
        wait_for(lambda r=reader: any("name=registry" in line for line in r.lines("dependency_lost")), "the loss of the store is not noticed", 5)
    restarted = cluster.gateways[2]
    restarted.process.kill()
    restarted.process.wait()
    restarted.start()
    wait_for(restarted.is_ready, "a gateway started without the store does not get its state from a reader", 5)
    require_nothing_inside("store_away")
    cluster.store.fault = None
    require(b"limpettrestle_zones_evacuated 1" in Gateway.get(restarted.metrics, "/metrics")[2], "the metric does not show the evacuated zone")
    wait_for(lambda: cluster.gateways[0].lines("dependency_regained"), "the recovery of the store is not logged")
    cluster.store.remove("op/evacuate/z1")
    for gateway in cluster.gateways:
        wait_for(lambda g=gateway: not evacuated_zones(g), "the end of the evacuation is not in force", 2)
        wait_for(lambda g=gateway: g.request("/all/q", "back")[0] == 200, "the replicas are not used again", 3)
        wait_for(lambda g=gateway: g.lines("zone_evacuated") and g.lines("zone_restored"), "the evacuation is not logged", 2)


def reader_of_an_earlier_build_is_not_relied_on(cluster):
    """A reader of a build that does not send shared facts: an instance reads the store itself, and without the store it takes no callers."""
    entries = [[replica.id, replica.service, HOST, replica.server.port, replica.zone, 2, 0, 0, replica.born, 1] for replica in cluster.replicas]
    polls = []

    class EarlierReader(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_):
            pass

        def do_GET(self):
            polls.append(self.path)
            body = json.dumps({"run": 7, "number": 1, "whole": True, "replicas": True, "era": 0, "age_ms": 10, "sender": "old", "following": 1, "fleet": 4,
                               "instances_digest": 9, "written": entries, "removed": []}).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    reader = Server(EarlierReader)
    cluster.ports.append(base.free_ports(4))
    cluster.store.fault = 503
    follower = Gateway(cluster, 3, [f"{HOST}:{reader.port}"], 1.0)
    cluster.gateways.append(follower)
    wait_for(lambda: len(polls) >= 3, "the reader is not asked")
    time.sleep(1.0)
    require(not follower.is_ready(), "ready without having read which zones are evacuated")
    require(follower.request("/all/q", "no-facts")[0] == 503, "calls replicas without having read which zones are evacuated")
    cluster.store.write("op/evacuate/z1", b"{}")
    cluster.store.fault = None
    wait_for(lambda: evacuated_zones(follower) == {"z1"}, "does not read the store itself", 3)
    wait_for(follower.is_ready, "not ready after it has read the store", 3)
    cluster.store.remove("op/evacuate/z1")
    wait_for(lambda: follower.request("/all/q", "facts")[0] == 200, "does not go on reading the store itself", 3)
    reader.close()


base.TESTS = [late_copies_reach_nobody, late_refusal_is_no_answer_to_the_repeat, stop_answers_what_was_accepted, restart_does_not_bring_back_what_left,
              malformed_messages_end_no_process, silence_does_not_end_running_work, broken_answers_are_no_success, invalid_answers_reach_nobody, body_of_a_204_reaches_nobody,
              long_keep_alive_keeps_connections, evacuated_zone_gets_nothing, reader_of_an_earlier_build_is_not_relied_on]

if __name__ == "__main__":
    sys.exit(base.main())
