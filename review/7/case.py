"""Answers that are lost for some seconds, and a request that many send."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-2"))
from fleet import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# answer_lost within its largest dose: share 0.6, x 0.4, 4.5 s.
LOSING = 1          # of three servers
LOST_SHARE = 0.4
LOST_S = 4.5
STEADY_S = 20.0
record = Record("record.txt")
rand = random.Random(1)
lock = threading.Lock()
sent = 0
losing = set()
lost_answers = 0
counts = {}         # (steady, route) -> [sent, served]
steady = threading.Event()
stopping = threading.Event()


def behave(server, sock, request):
    """Runs a lookup for 60 ms; some servers lose some answers."""
    global lost_answers
    time.sleep(0.06)
    with lock:
        lose = server in losing and rand.random() < LOST_SHARE
        lost_answers += lose
    if lose:
        record.write("%s has run %s and its answer is lost" % (
            server.id, request.get("Galenapulley-Attempt-Id")))
        return False
    return server.run(sock, request)


def client(gateway, name, path_of):
    global sent
    while not stopping.is_set():
        time.sleep(0.25)
        with lock:
            sent += 1
            number = sent
        when = steady.is_set()
        attempt = "%s-%d" % (name, number)
        answer = call(gateway.traffic, request_text(
            "GET", path_of(number), attempt), 5)
        served = bool(answer and answer.complete and " 200" in answer.start)
        with lock:
            it = counts.setdefault((when, name), [0, 0])
            it[0] += 1
            it[1] += served
        if not served:
            record.write("%s to %s: %s %s" % (
                attempt, gateway.name, answer.start if answer else "none",
                answer.body[:60] if answer else b""))


def put_configuration(store, version, more):
    store.put("op", "config", configuration(
        version, [route("count-lookup", "/look/", "idempotent", "pass-ledger",
                        2, 2000, 300)] + more,
        [{"Name": "pass-ledger", "HealthCheck": "/health"}]))


def main():
    with Fleet(3) as fleet:
        put_configuration(fleet.store, 1, [])
        servers = [Server(fleet.store, "pass-ledger", zone, 6, behave)
                   for zone in ZONES]
        fleet.start()
        time.sleep(CONTACT_S)
        put_configuration(fleet.store, 2, [
            route("tally-now", "/tally/", "idempotent", "pass-ledger", 2,
                  2000, 300)])
        time.sleep(CONFIG_APPLY_S)
        for it in fleet.gateways:
            for _ in range(2):
                threading.Thread(target=client, daemon=True, args=(
                    it, "count-lookup", lambda n: "/look/weir-%d" % n)).start()
                # The route serves one thing.
                threading.Thread(target=client, daemon=True, args=(
                    it, "tally-now", lambda n: "/tally/today")).start()
        time.sleep(2)
        if TROUBLE:
            record.write("the answers of %d of 3 servers begin to be lost" %
                         LOSING)
            losing.update(servers[:LOSING])
        time.sleep(LOST_S)
        losing.clear()
        record.write("no more answers are lost")
        time.sleep(CONTACT_S + 1)
        steady.set()
        time.sleep(STEADY_S)
        stopping.set()
        time.sleep(0.5)
        first = counts[(True, "count-lookup")]
        later = counts[(True, "tally-now")]
        text = ("%d answers were lost; in steady state, %d of %d requests on "
                "the first route and %d of %d on the route that was added "
                "later were served (CONFIG: a quarter as often at least)" %
                (lost_answers, first[1], first[0], later[1], later[0]))
        record.write(text)
        print(text)
        broken = (later[0] >= 20 and
                  later[1] / later[0] < first[1] / first[0] / 4)
        return 1 if broken else 0


play(main)
