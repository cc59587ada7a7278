"""A streamed request that crashes each server some events into its answer."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-2"))
from fleet import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Events that reach the gateway before the server crashes.
EVENTS = int(os.environ.get("EVENTS", "3"))
WHOLE = 20
DOWN_S = 2.0
DEADLINE_MS = 10000
KILLER = "killer" + "x" * 1200
record = Record("record.txt")
lock = threading.Lock()
sent = 0
crashes = []       # when a server crashed
arrivals = []      # when the request reached a server
bystanders = {"sent": 0, "served": 0}
stopping = threading.Event()


def behave(server, sock, request):
    """Streams an event each 50 ms; the killer ends the server."""
    attempt = request.get("Galenapulley-Attempt-Id")
    killer = request.body.decode() == KILLER
    after = int(request.get("Last-Event-Id") or 0)
    if killer:
        with lock:
            arrivals.append(now())
        record.write("%s begins to run %s after event %d" %
                     (server.id, attempt, after))
    head = "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n"
    for key, value in server.sealed(request):
        head += "%s: %s\r\n" % (key, value)
    sock.sendall((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
    for n in range(after + 1, WHOLE + 1):
        time.sleep(0.05)
        event = "id: %d\ndata: %d\n\n" % (n, n)
        sock.sendall(("%x\r\n%s\r\n" % (len(event), event)).encode())
        if killer and TROUBLE and n - after == EVENTS:
            time.sleep(0.03)
            record.write("%s crashes in %s" % (server.id, attempt))
            with lock:
                crashes.append(now())
            server.crash(DOWN_S)
            return False
    sock.sendall(b"0\r\n\r\n")
    return True


def stream(gateway, what, body):
    global sent
    with lock:
        sent += 1
        attempt = "%s-%d" % (what, sent)
    answer = call(gateway.traffic, request_text(
        "POST", "/tally/x", attempt, body, DEADLINE_MS,
        [("Galenapulley-Token-Usage", "4960,600"),
         ("Galenapulley-Model", "m"),
         ("Galenapulley-Prompt-Prefix", "%x:4960" % (
             7 if what == "killer" else 4096 + sent))]),
        DEADLINE_MS / 1000 + 1)
    complete = bool(answer and answer.complete and " 200" in answer.start)
    if what == "killer":
        record.write("%s to %s: %s, %d events, %s" % (
            attempt, gateway.name, answer.start if answer else "no answer",
            answer.body.count(b"data: ") if answer else 0,
            "complete" if complete else "not complete"))
    return complete


def bystander(gateway):
    while not stopping.is_set():
        time.sleep(0.2)
        served = stream(gateway, "tally", "t of %s %f" % (gateway.name, now()))
        with lock:
            bystanders["sent"] += 1
            bystanders["served"] += served


def main():
    with Fleet(3) as fleet:
        fleet.store.put("op", "config", configuration(
            1, [route("daily-tally", "/tally/", "streaming", "galena-drafts",
                      2, DEADLINE_MS, 300, Resumable=True, GapAimMs=250,
                      Sticky=True)],
            [{"Name": "galena-drafts", "HealthCheck": "/health",
              "Engine": ENGINE}]))
        for zone in ZONES * 2:
            Server(fleet.store, "galena-drafts", zone, 16, behave)
        fleet.start()
        time.sleep(CONTACT_S + 1)
        for it in fleet.gateways:
            threading.Thread(target=bystander, args=(it,),
                             daemon=True).start()
        third = None
        # The same path, caller and body again, at any machine.
        for turn in range(16):
            stream(fleet.gateways[turn % 3], "killer", KILLER)
            if third is None and len(crashes) >= 3:
                third = crashes[2]
                record.write("the third crash was at %.3f" % third)
                time.sleep(CONTACT_S)
            time.sleep(DOWN_S)
        stopping.set()
        late = ([at for at in arrivals if at > third + CONTACT_S]
                if third else [])
        for text in ("%d crashes; the request reached servers %d times later "
                     "than ContactMs after the third one (BUDGET allows 3)" %
                     (len(crashes), len(late)),
                     "bystanders: %d sent, %d served whole" %
                     (bystanders["sent"], bystanders["served"])):
            record.write(text)
            print(text)
        return 1 if len(late) > 3 else 0


play(main)
