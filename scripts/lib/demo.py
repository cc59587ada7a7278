"""Runs a small fleet of both users, sends requests, and checks the responses.

Exits with 0 only if every response was complete and correct.
"""

import argparse
import dataclasses
import os
import shlex
import signal
import subprocess
import sys
import time

from callers import complete, run_action
from fleet import USERS, Fleet, call

ZONES = ("ub-east", "ub-west")
NODES = 3
ENGINES_PER_USER = 6
KV_TOKENS = 40000
SHORT_TOKENS = 1000
LONG_TOKENS = 30000
# More than twice the KV memory of one engine.
OVER_MEMORY_TOKENS = 2 * KV_TOKENS + 15000
READY_TIMEOUT_S = 30
# The requirement is that a withdrawn zone gets no new work "after a few
# seconds".
WITHDRAWN_AFTER_S = 10
POLL_INTERVAL_S = 0.1


def two_zones(user):
    return dataclasses.replace(user, zones=ZONES, plain_servers=2)


def make_fleet():
    return Fleet(two_zones(USERS["tuul-gate"]),
                 further_users=[two_zones(USERS["association"])],
                 engines=ENGINES_PER_USER, nodes=NODES, kv_tokens=KV_TOKENS,
                 engine_options=["--time-scale", "20", "--warm-after-s", "1"])


def ctl(fleet, token, *words, node=0):
    """Runs a verb and prints it with its output; raises if it fails."""
    command = [str(fleet.build / "galenapulley"), "ctl", *words, "--node",
               fleet.nodes[node].address]
    print("$ galenapulley ctl " + shlex.join(words), flush=True)
    done = subprocess.run(command, capture_output=True, text=True,
                          env=dict(os.environ, GALENAPULLEY_TOKEN=token),
                          timeout=30)
    for line in (done.stdout + done.stderr).splitlines():
        print("  " + line)
    if done.returncode != 0:
        raise RuntimeError("ctl exited with code %d" % done.returncode)


def put_documents(fleet):
    for user in fleet.users:
        for service in (user.model_service, user.plain_service):
            ctl(fleet, fleet.token_of(user), "services", "put",
                str(fleet.document_path(service)))


def wait_for(condition, what, timeout):
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            raise RuntimeError("timed out after %d s: %s" % (timeout, what))
        time.sleep(POLL_INTERVAL_S)


def statuses(fleet):
    return [call(it.address, "/admin/status", token=fleet.operator_token)[1]
            or {} for it in fleet.nodes]


def every_node_serves(fleet):
    """Whether a short request of each service succeeds through every node."""
    for node in fleet.nodes:
        for user in fleet.users:
            token = fleet.customer_token(3, user)
            route = next(it for it in user.routes if it["idempotent"])
            lookup = call(node.address, "/services/%s/call%s" % (
                user.plain_service, route["path"]), method=route["method"],
                token=token)[0]
            if lookup != 200 or complete(
                    node, user.model_service, user.model, token, 100,
                    "ready " + node.name, False, max_tokens=1).fault:
                return False
    return True


def wait_until_ready(fleet):
    """Waits until every node's view is fresh, every back end has a shard owner
    and every node serves requests."""
    wanted = {it.name for it in fleet.engines + fleet.plain_servers}

    def ready():
        responses = statuses(fleet)
        known = {it["back_end"] for response in responses
                 for it in response.get("back_ends", []) if it["reachable"]}
        return known >= wanted and all(it.get("fresh") for it in responses)

    wait_for(ready, "every back end has a shard owner", READY_TIMEOUT_S)
    # Nodes learn of new shard owners by gossip and refuse requests until then.
    wait_for(lambda: every_node_serves(fleet), "every node serves",
             READY_TIMEOUT_S)


def send_prompts(fleet):
    """Sends short, long and over-memory prompts of each user, streamed and
    not streamed."""
    outcomes = []
    for tokens in (SHORT_TOKENS, LONG_TOKENS, OVER_MEMORY_TOKENS):
        for user in fleet.users:
            for stream in (True, False):
                number = len(outcomes)
                outcomes.append(complete(
                    fleet.nodes[number % len(fleet.nodes)],
                    user.model_service, user.model,
                    fleet.customer_token(1, user), tokens, number, stream))
    return outcomes


def send_actions(fleet):
    """Sends one non-idempotent request twice, through two nodes."""
    outcomes = []
    for user in fleet.users:
        route = next(it for it in user.routes if not it["idempotent"])
        responses = []
        for node in (fleet.nodes[0], fleet.nodes[-1]):
            outcome, response = run_action(
                node, user.plain_service, route, fleet.customer_token(1, user),
                "demo-" + user.team, {"number": 1})
            outcomes.append(outcome)
            responses.append(response)
        runs = sum(call(it.address, "/stats")[1]["total_runs"]
                   for it in fleet.plain_servers if it.team == user.team)
        print("%s%s: sent twice with one key, run %d time(s)" % (
            user.plain_service, route["path"], runs))
        if runs != 1 and not outcomes[-1].fault:
            outcomes[-1].fault = "run %d times" % runs
        if responses[0] != responses[1] and not outcomes[-1].fault:
            outcomes[-1].fault = "response differs from the first one"
    return outcomes


def started_requests(fleet, zone):
    """Returns the number of requests that engines of the zone have started."""
    return sum(call(it.address, "/stats")[1]["started"]
               for it in fleet.engines if it.zone == zone)


def send_short(fleet, seed, count=6):
    user = fleet.user
    return [complete(fleet.nodes[n % len(fleet.nodes)], user.model_service,
                     user.model, fleet.customer_token(2, user), SHORT_TOKENS,
                     "%s %d" % (seed, n), True) for n in range(count)]


def withdraw_and_return(fleet, zone):
    """Withdraws a zone and returns it; sends short prompts in both states."""
    ctl(fleet, fleet.operator_token, "zones", "withdraw", zone)
    wait_for(lambda: all(zone in it.get("withdrawn_zones", [])
                         for it in statuses(fleet)),
             "every node knows that %s is withdrawn" % zone,
             WITHDRAWN_AFTER_S)
    before = started_requests(fleet, zone)
    outcomes = send_short(fleet, "withdrawn")
    started = started_requests(fleet, zone) - before
    print("%s: %d new requests while withdrawn" % (zone, started))
    if started:
        outcomes[-1].fault = (outcomes[-1].fault or
                              "withdrawn zone received requests")
    ctl(fleet, fleet.operator_token, "zones", "return", zone, node=1)
    wait_for(lambda: all(it.get("withdrawn_zones") == []
                         for it in statuses(fleet)),
             "every node knows that %s has returned" % zone, WITHDRAWN_AFTER_S)
    before = started_requests(fleet, zone)
    outcomes += send_short(fleet, "returned")
    started = started_requests(fleet, zone) - before
    print("%s: %d new requests after its return" % (zone, started))
    if not started:
        outcomes[-1].fault = (outcomes[-1].fault or
                              "returned zone received no requests")
    return outcomes


def print_table(outcomes):
    rows = [["sent", "through", "status", "first byte ms", "total ms",
             "result"]] + [it.row() for it in outcomes]
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    print()
    for row in rows:
        print("  ".join(cell.ljust(width)
                        for cell, width in zip(row, widths)).rstrip())


def print_addresses(fleet):
    """Prints addresses and tokens for callers, and writes them to
    build/demo.env."""
    values = {"NODE": fleet.nodes[0].address,
              "GALENAPULLEY_NODES": ",".join(it.address
                                             for it in fleet.nodes),
              "GALENAPULLEY_TOKEN": fleet.operator_token}
    for user in fleet.users:
        prefix = user.team.upper().replace("-", "_")
        values[prefix + "_TEAM_TOKEN"] = fleet.token_of(user)
        values[prefix + "_TOKEN"] = fleet.customer_token(1, user)
    path = fleet.build / "demo.env"
    text = "".join("export %s=%s\n" % (name, shlex.quote(value))
                   for name, value in values.items())
    path.write_text(text)
    print("\nThe fleet runs until Ctrl-C. Its files are in %s." %
          fleet.directory)
    print("Addresses and tokens, also in %s:\n%s" % (path, text))
    print("Try:\n  curl -sN -H 'Authorization: Bearer %s' "
          "http://%s/services/%s/v1/completions \\\n"
          "    -d '{\"model\":\"%s\",\"prompt\":\"How many taimen?\","
          "\"max_tokens\":8,\"stream\":true}'" %
          (fleet.customer_token(1), fleet.nodes[0].address,
           fleet.user.model_service, fleet.user.model), flush=True)
    return path


def run(keep):
    start = time.monotonic()
    with make_fleet() as fleet:
        fleet.start_stand_ins()
        fleet.start_nodes()
        for it in fleet.nodes:
            print("%s in %s at %s" % (it.name, it.zone, it.address))
        wait_for(lambda: all(it.get("baseline") for it in statuses(fleet)),
                 "every node knows the documents in force", READY_TIMEOUT_S)
        put_documents(fleet)
        wait_until_ready(fleet)
        print("ready after %.1f s" % (time.monotonic() - start), flush=True)
        outcomes = send_prompts(fleet) + send_actions(fleet)
        outcomes += withdraw_and_return(fleet, ZONES[1])
        print_table(outcomes)
        faults = sum(1 for it in outcomes if it.fault)
        print("\n%d requests, %d missing or wrong, %.1f s" % (
            len(outcomes), faults, time.monotonic() - start), flush=True)
        if keep and not faults:
            path = print_addresses(fleet)
            try:
                signal.pause()
            finally:
                path.unlink(missing_ok=True)
        return 1 if faults else 0


def main():
    parser = argparse.ArgumentParser(
        prog="scripts/demo", description=__doc__.splitlines()[0])
    parser.add_argument("--keep", action="store_true",
                        help="leave the fleet running until Ctrl-C and print "
                             "its addresses and tokens")
    args = parser.parse_args()
    # Exit through the with block, which stops the fleet.
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda number, _: sys.exit(128 + number))
    try:
        return run(args.keep)
    except (RuntimeError, subprocess.SubprocessError) as error:
        print("demo: %s" % error, file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
