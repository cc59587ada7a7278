"""A request that crashes servers, and a rolling restart of the gateways."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-2"))
from fleet import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_S = 2.0
KILLER = "killer"
record = Record("record.txt")
sent = 0
lock = threading.Lock()
crashes = []       # when a server crashed, and through which gateway it came
bystanders = {"sent": 0, "served": 0, "cut": 0}
stopping = threading.Event()
idle = threading.Event()


def behave(server, sock, request):
    """Runs requests for 60 ms; the killer crashes the server that runs it."""
    attempt = request.get("Galenapulley-Attempt-Id")
    if request.body.decode() != KILLER:
        time.sleep(0.06)
        return server.run(sock, request)
    with lock:
        crashes.append((now(), attempt))
    record.write("%s runs %s and crashes" % (server.id, attempt))
    server.crash(DOWN_S)
    return False


def next_attempt(what):
    global sent
    with lock:
        sent += 1
        return "%s-%d" % (what, sent)


def send_killer(gateway):
    """One client attempt: same path, caller and body each time."""
    attempt = next_attempt("killer")
    answer = call(gateway.traffic, request_text(
        "POST", "/log/gate", attempt, KILLER), 5)
    record.write("%s to %s: %s" % (attempt, gateway.name,
                                   answer.start if answer else "no answer"))
    time.sleep(DOWN_S + 0.3)


def bystander(gateway):
    while not stopping.is_set():
        time.sleep(0.25)
        if gateway.process.poll() is not None or idle.is_set():
            continue
        attempt = next_attempt("log")
        answer = call(gateway.traffic, request_text(
            "POST", "/log/gate", attempt, "entry of " + attempt), 5)
        with lock:
            bystanders["sent"] += 1
            if answer and answer.complete and " 200" in answer.start:
                bystanders["served"] += 1


def main():
    with Fleet(3) as fleet:
        fleet.store.put("op", "config", configuration(
            1, [route("gate-log", "/log/", "non_idempotent", "pass-ledger", 1,
                      2000, 300)],
            [{"Name": "pass-ledger", "HealthCheck": "/health"}]))
        for zone in ZONES:
            Server(fleet.store, "pass-ledger", zone, 6, behave)
        fleet.start()
        time.sleep(CONTACT_S + 1)
        for it in fleet.gateways:
            threading.Thread(target=bystander, args=(it,),
                             daemon=True).start()
        time.sleep(1)
        turn = 0
        while len(crashes) < 3 and turn < 12:
            send_killer(fleet.gateways[turn % 3])
            turn += 1
        if len(crashes) < 3:
            raise Unplayable("the request didn't crash three servers")
        third = crashes[2][0]
        record.write("the third crash was at %.3f" % third)
        time.sleep(CONTACT_S + 0.5)
        # roll_term: one machine after the other is stopped and started.
        for it in fleet.gateways:
            if TROUBLE:
                record.write("SIGTERM to %s" % it.name)
                it.stop()
                it.start()
                it.wait_ready()
                record.write("%s runs again" % it.name)
            time.sleep(CONTACT_S + 0.3)
            for _ in range(3):
                send_killer(it)
        stopping.set()
        time.sleep(0.3)
        late = [at for at, _ in crashes if at > third + CONTACT_S]
        for text in ("retries that reached servers later than ContactMs after "
                     "the third crash, all sent by machines in touch: %d "
                     "(BUDGET allows 3)" % len(late),
                     "bystanders: %d sent, %d served" %
                     (bystanders["sent"], bystanders["served"])):
            record.write(text)
            print(text)
        return 1 if len(late) > 3 else 0


play(main)
