"""A replica leaves while the seed that the machines follow is cut off; they follow it again after the cut."""

import os
import random
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import bed as beds  # noqa: E402
from proxy import Proxy  # noqa: E402
from replica import Replica, route, service  # noqa: E402

CUT_S, DRAIN_S, WORK_S, DEADLINE_MS = 3.5, 3.0, 0.09, 2000
# The replica leaves so long after the cut has begun. It goes on serving for drain_ms and somewhat longer, then it ends.
LEAVES_AFTER_S, SERVES_ON_S = 0.5, 4.8
FOLLOWERS, EPISODES, EPISODE_S = 7, 3, 13.0


def play(bed, has_trouble):
    record = bed.record
    chance = random.Random(3)
    # The sheet: 90 ms in the mean, spread 0.5, 540 ms at most.
    def work(request_id, path):
        return min(0.54, WORK_S * chance.lognormvariate(-0.125, 0.5))

    replicas = [Replica(bed, "owner-portal", n, work=work) for n in range(4)]
    bed.configure([route("horse-card", "/card/", "owner-portal", timeout_ms=DEADLINE_MS),
                   route("stall-order", "/order/", "owner-portal", kind="non_idempotent", timeout_ms=DEADLINE_MS)], [service("owner-portal")])
    ports = beds.free_ports(4 * (FOLLOWERS + 1) + 2)
    sets = [ports[4 * n:4 * n + 4] for n in range(FOLLOWERS + 1)]
    # Two of the three seeds have left the system: nobody listens there. Everything between the third one and the store,
    # and what the other machines ask it, passes these links.
    stale = [f"{beds.HOST}:{port}" for port in ports[-2:]]
    store_link, seed_link = Proxy(bed.store.server.port), Proxy(sets[0][2])
    links = [store_link, seed_link]
    bed.start_gateway(0, sets[0], [f"{beds.HOST}:{sets[0][2]}"] + stale, store_port=store_link.port)
    for number in range(1, FOLLOWERS + 1):
        bed.start_gateway(number, sets[number], [f"{beds.HOST}:{seed_link.port}"] + stale)
    bed.wait_until_ready()
    followers = bed.gateways[1:]
    time.sleep(6)
    served, stopping = {}, []

    def load(number, client):
        """Asks one gateway about five times a second on a kept connection."""
        connection, index = None, 0
        while not stopping:
            index += 1
            request_id = f"n{number}-{client}-{index}"
            try:
                if connection is None:
                    connection = socket.create_connection((beds.HOST, followers[number - 1].front), timeout=2)
                at = time.monotonic()
                method, path, body = ("GET", f"/card/{index}", b"") if index % 2 else ("POST", f"/order/{index}", b"stall=7")
                connection.sendall(beds.request_bytes(request_id, path, DEADLINE_MS, method, body))
                answer = beds.read_response(connection, at + DEADLINE_MS / 1000)
            except OSError as error:
                answer = str(error)
            served[request_id] = answer if isinstance(answer, str) else answer[0]
            if isinstance(answer, str) or answer[1].get("connection") == "close":
                connection = None
            time.sleep(0.1)

    threads = [threading.Thread(target=load, args=(n, client)) for n in range(1, FOLLOWERS + 1) for client in range(3)]
    for thread in threads:
        thread.start()
    time.sleep(2)
    gone = []
    for episode in range(EPISODES):
        leaving = replicas[episode]
        record.add("cut: the seed has no path to the store and the other machines" if has_trouble else "no cut")
        for link in links if has_trouble else ():
            link.cut()
        time.sleep(LEAVES_AFTER_S)
        leaving.state = "gone"
        bed.store.remove(f"servers/{leaving.id}")
        gone.append((leaving, record.add(f"the store has removed {leaving.id}, which goes on serving")))
        replicas.append(Replica(bed, "owner-portal", len(replicas), work=work))
        time.sleep(CUT_S - LEAVES_AFTER_S)
        for link in links:
            link.heal()
        record.add("the cut has ended" if has_trouble else "no cut has ended")
        time.sleep(max(0.0, gone[-1][1] + SERVES_ON_S - record.now()))
        leaving.end()
        record.add(f"{leaving.id} has ended")
        time.sleep(EPISODE_S - SERVES_ON_S - LEAVES_AFTER_S + chance.uniform(0, 1))
    stopping.append(True)
    for thread in threads:
        thread.join()
    for gateway in bed.gateways:
        for line in gateway.log_lines("event="):
            if "event=request" not in line:
                record.add(f"log of {os.path.basename(gateway.log)}: {line}")
    for request_id, status in served.items():
        if status != 200:
            record.add(f"{request_id} was not served: {status}; it ran at {', '.join(r.id for r in replicas if request_id in r.runs) or 'no replica'}")
    broken = []
    for leaving, gone_at in gone:
        late = [(at, request_id) for request_id, times in leaving.runs.items() for at in times if at > gone_at + DRAIN_S]
        if late:
            machines = sorted({request_id.partition("-")[0] for _, request_id in late})
            broken.append(f"{len(late)} requests of {', '.join(machines)} reached {leaving.id} {min(late)[0] - gone_at:.2f} to {max(late)[0] - gone_at:.2f} s after the store had removed it")
    return broken


beds.main(HERE, play)
