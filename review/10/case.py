"""A gateway that is partitioned from all servers while its callers use one
service."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-2"))
from fleet import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# 1: some callers use the second service as well.
MIX = os.environ.get("MIX", "0") != "0"
CUT_S = 12.0         # largest length of a node_cut on the pages
record = Record("record.txt")
lock = threading.Lock()
sent = 0
counts = {}          # gateway -> [first tries, served]
counting = threading.Event()
stopping = threading.Event()


def behave(server, sock, request):
    time.sleep(0.06)
    return server.run(sock, request)


class Place:
    """A gateway and the servers as it reaches them. On one machine the paths
    of two gateways to a server can't be told apart, so each has servers, and
    a replica of the store, of its own; they are written alike."""

    def __init__(self, fleet, number):
        self.store = Store()
        self.store.put("op", "config", configuration(
            1, [route("gate-log", "/log/", "non_idempotent", "pass-ledger", 1,
                      2000, 300),
                route("count-lookup", "/look/", "idempotent", "pass-ledger",
                      2, 2000, 300),
                route("weir-image", "/image/", "idempotent", "images", 2,
                      2000, 300)],
            [{"Name": "pass-ledger", "HealthCheck": "/health"},
             {"Name": "images", "HealthCheck": "/health"}]))
        self.servers = [
            Server(self.store, service, ZONES[n % 3], 6, behave,
                   "i-%s-%d-%d" % (service, n, number))
            for service, count in (("pass-ledger", 2), ("images", 3))
            for n in range(count)]
        self.gateway = Gateway("front-%d" % (number + 1), ZONES[number],
                               self.store,
                               [it.peer for it in fleet.gateways],
                               fleet.folder.name)
        fleet.gateways.append(self.gateway)


def client(gateway, name, method, path):
    global sent
    while not stopping.is_set():
        time.sleep(0.5)
        with lock:
            sent += 1
            attempt = "%s-%d" % (name, sent)
        counted = counting.is_set()
        answer = call(gateway.traffic, request_text(
            method, path, attempt, "entry" if method == "POST" else "",
            4000), 5)
        served = bool(answer and answer.complete and " 200" in answer.start)
        if not served:
            record.write("%s to %s: %s" % (
                attempt, gateway.name, answer.start if answer else "none"))
        if counted and not stopping.is_set():
            with lock:
                it = counts.setdefault(gateway.name, [0, 0])
                it[0] += 1
                it[1] += served


def main():
    with Fleet(0) as fleet:
        places = [Place(fleet, n) for n in range(2)]
        for it in places:
            it.gateway.start()
            it.gateway.wait_ready()
        time.sleep(CONTACT_S)
        kinds = [("gate-log", "POST", "/log/x"),
                 ("count-lookup", "GET", "/look/x")] * 2
        if MIX:
            kinds.append(("weir-image", "GET", "/image/x"))
        for it in places:
            for kind in kinds:
                threading.Thread(target=client, args=(it.gateway,) + kind,
                                 daemon=True).start()
        time.sleep(CONTACT_S + 1)
        cut = places[0]
        if TROUBLE:
            record.write("%s is partitioned from all servers" %
                         cut.gateway.name)
            for it in cut.servers:
                it.listener.crash()
        time.sleep(CONTACT_S)
        counting.set()
        time.sleep(CUT_S - CONTACT_S)
        stopping.set()
        time.sleep(1)
        a, b = (counts.get(it.gateway.name, [0, 0]) for it in places)
        failed = a[0] - a[1]
        text = ("from ContactMs after the cut began, %d of %d first tries at "
                "%s were served, %d of %d at the other machine (RECOVER: two "
                "thirds as often at least, or 10 + 1 in 50 failed at most)" %
                (a[1], a[0], cut.gateway.name, b[1], b[0]))
        record.write(text)
        print(text)
        if a[0] == 0 or b[0] == 0:
            raise Unplayable("no requests were counted")
        broken = (a[1] / a[0] < b[1] / b[0] * 2 / 3 and
                  failed > 10 + (a[0] + b[0]) / 50)
        return 1 if broken else 0


play(main)
