#!/usr/bin/env python3
"""Failures that operators of similar systems have reported, provoked on gateways that run as real processes.

Usage: tests/gateway_failures_test.py [NAME...]
"""

import http.client
import signal
import socket
import sys
import threading
import time

import gateway_process_test as base
from gateway_process_test import HOST, Gateway, require, wait_for


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


base.TESTS = [late_copies_reach_nobody, late_refusal_is_no_answer_to_the_repeat, stop_answers_what_was_accepted, restart_does_not_bring_back_what_left,
              malformed_messages_end_no_process, silence_does_not_end_running_work, broken_answers_are_no_success]

if __name__ == "__main__":
    sys.exit(base.main())
