"""Starts stand-ins and nodes as processes on loopback ports, and stops them.

Used by the demo, demo-fixtures and capacity scripts:

    with Fleet(USERS["tuul-gate"], nodes_per_zone=2) as fleet:
        fleet.start_stand_ins()
        fleet.start_nodes()
        fleet.put_documents()
"""

import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
START_TIMEOUT_S = 10
STOP_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.02
# Below the ports that the kernel gives to outgoing connections, so that a
# process that was stopped finds its port free when it is started again.
PORTS = range(10000, 30000)


@dataclass(frozen=True)
class User:
    """One of the two users of the design page, with its present sizes."""

    team: str
    zones: tuple
    model_service: str
    model: str
    engines: int
    plain_service: str
    plain_servers: int
    routes: tuple
    customers: int = 10


USERS = {
    "tuul-gate": User(
        team="tuul-gate",
        zones=("ub-east", "ub-west", "nalaikh"),
        model_service="drafting",
        model="drafter",
        engines=14,
        plain_service="pass-records",
        plain_servers=3,
        routes=(
            {"method": "POST", "path": "/gate-adjustments",
             "idempotent": False, "timeout_ms": 5000},
            {"method": "GET", "path": "/counts",
             "idempotent": True, "timeout_ms": 2000},
        ),
    ),
    "association": User(
        team="association",
        zones=("nyarugenge", "gasabo", "kicukiro"),
        model_service="assessment",
        model="assessor",
        engines=20,
        plain_service="band-registry",
        plain_servers=3,
        routes=(
            {"method": "POST", "path": "/band-awards",
             "idempotent": False, "timeout_ms": 5000},
            {"method": "GET", "path": "/colours",
             "idempotent": True, "timeout_ms": 2000},
        ),
    ),
}


@dataclass
class Member:
    """A process of the fleet, running or not."""

    name: str
    kind: str
    address: str
    zone: str = ""
    machine: str = ""
    team: str = ""
    arguments: list = field(default_factory=list)
    process: subprocess.Popen = None

    def running(self):
        return self.process is not None and self.process.poll() is None


def free_addresses(count):
    """Returns distinct loopback addresses with unused ports."""
    addresses = []
    for port in random.sample(PORTS, len(PORTS)):
        if len(addresses) == count:
            return addresses
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
            except OSError:
                continue
            addresses.append("127.0.0.1:%d" % port)
    raise RuntimeError("not enough free ports")


def listens(address):
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), timeout=0.2).close()
        return True
    except OSError:
        return False


def token_sha256(token):
    return hashlib.sha256(token.encode()).hexdigest()


def call(address, path, body=None, method=None, token=None, headers=None,
         timeout=5):
    """Returns the status and the decoded body; status 0 if there was no
    complete response."""
    headers = dict(headers or {})
    if token:
        headers["Authorization"] = "Bearer " + token
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        "http://%s%s" % (address, path), data=data, headers=headers,
        method=method)
    # Ignore proxy settings: all traffic stays on the loopback interface.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout) as response:
            status, text = response.status, response.read()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read()
    except OSError:
        return 0, None
    except Exception as error:  # http.client raises several types
        return 0, repr(error)
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text.decode(errors="replace")


class Fleet:
    """Stand-ins and nodes in a temporary directory.

    The back ends of further users, if any, are placed in the zones of the
    first one and are served by the same nodes.
    """

    def __init__(self, user, nodes_per_zone=1, engines=None, slots=16,
                 cold_slots=2, kv_tokens=400000, engine_options=(),
                 platform_options=(), build=None, nodes=None,
                 further_users=()):
        build = pathlib.Path(build or os.environ.get("BUILD_DIR", "build"))
        self.build = build if build.is_absolute() else ROOT / build
        self.user = user
        self.users = (user,) + tuple(further_users)
        self.operator_token = "operator-token"
        self.team_token = self.token_of(user)
        self.slots, self.cold_slots = slots, cold_slots
        self.kv_tokens = kv_tokens
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="galenapulley-"))
        self.platform = None
        self.engines, self.plain_servers, self.nodes = [], [], []
        self._create_members(
            engines, nodes or nodes_per_zone * len(user.zones),
            list(engine_options), list(platform_options))
        self.documents = {}
        for it in self.users:
            self.documents[it.model_service] = self._model_document(it)
            self.documents[it.plain_service] = self._plain_document(it)
        self._write_files()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def members(self):
        return ([self.platform] + self.engines + self.plain_servers +
                self.nodes)

    def start_stand_ins(self):
        self._start_all([self.platform] + self.engines + self.plain_servers)
        machines = {it.machine for it in self.members() if it.machine}
        call(self.platform.address, "/control", {"vms": [
            {"machine": it, "state": "live"} for it in sorted(machines)]})

    def start_nodes(self):
        self._start_all(self.nodes)

    def start(self, member):
        """Starts or restarts one member and waits until it listens."""
        self._start_all([member])

    def stop_member(self, member, with_signal=signal.SIGTERM,
                    timeout=STOP_TIMEOUT_S):
        """Sends the signal and waits for the exit; returns the exit code."""
        if member.running():
            member.process.send_signal(with_signal)
        return member.process.wait(timeout)

    def stop(self):
        """Ends all processes that this fleet started."""
        # Nodes are killed, because a graceful stop lasts as long as their
        # callers' requests and address lists. Tests of it use stop_member.
        for it in self.nodes:
            if it.running():
                it.process.kill()
        for it in self.members():
            if it.running():
                it.process.send_signal(signal.SIGCONT)
                it.process.terminate()
        end = time.monotonic() + STOP_TIMEOUT_S
        for it in self.members():
            if it.process is None:
                continue
            try:
                it.process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                it.process.kill()
                it.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)

    def put_documents(self):
        """Uploads all service documents through the first node."""
        for name, document in self.documents.items():
            status, response = call(
                self.nodes[0].address, "/admin/services/" + name, document,
                method="PUT", token=self.operator_token,
                headers={"x-expected-version": "0",
                         "x-change-id": "fleet-" + name})
            if status != 200:
                raise RuntimeError("put of %s: %s %s" % (name, status,
                                                         response))

    @staticmethod
    def token_of(user):
        return user.team + "-token"

    def customer_token(self, n, user=None):
        return "%s-customer-%d-token" % ((user or self.user).team, n)

    def document_path(self, service):
        return self.directory / (service + ".service.json")

    def log_of(self, member):
        return (self.directory / (member.name + ".log")).read_text(
            errors="replace")

    def _create_members(self, engines, node_count, engine_options,
                        platform_options):
        counts = [(engines or it.engines) + it.plain_servers
                  for it in self.users]
        addresses = iter(free_addresses(1 + sum(counts) + 2 * node_count))
        self.platform = Member("platform", "platform", next(addresses),
                               arguments=platform_options)
        for user in self.users:
            for _ in range(engines or user.engines):
                self._add_engine(user, next(addresses), engine_options)
            for _ in range(user.plain_servers):
                self._add_plain_server(user, next(addresses))
        for n in range(node_count):
            self.nodes.append(Member(
                "n%d" % (n + 1), "node", next(addresses), self._zone_of(n),
                "vm-%d" % (1 + n)))
        self.peer_addresses = [next(addresses) for _ in self.nodes]

    def _zone_of(self, n):
        return self.user.zones[n % len(self.user.zones)]

    def _add_engine(self, user, address, options):
        n = len(self.engines)
        arguments = ["--slots", str(self.slots),
                     "--cold-slots", str(self.cold_slots),
                     "--kv-tokens", str(self.kv_tokens),
                     "--model", user.model] + options
        if self._checks_fencing(n):
            arguments.append("--checks-fencing")
        self.engines.append(Member(
            "e%d" % (n + 1), "engine", address, self._zone_of(n),
            "vm-%d" % (101 + n), user.team, arguments))

    def _add_plain_server(self, user, address):
        n = len(self.plain_servers)
        journal = self.directory / ("p%d.journal" % (n + 1))
        self.plain_servers.append(Member(
            "p%d" % (n + 1), "plain", address, self._zone_of(n),
            "vm-%d" % (201 + n), user.team, ["--journal", str(journal)]))

    @staticmethod
    def _checks_fencing(n):
        # One engine in four ignores fencing numbers.
        return n % 4 != 3

    def _customers(self, user):
        # The first two are large accounts.
        return [{"name": "customer-%d" % n,
                 "token_sha256": token_sha256(self.customer_token(n, user)),
                 "weight": 4 if n <= 2 else 1,
                 "max_in_flight": 50} for n in
                range(1, user.customers + 1)]

    def _model_document(self, user):
        return {
            "service": user.model_service, "team": user.team,
            "kind": "model", "models": [user.model],
            "max_prompt_tokens": 1000000, "max_output_tokens": 4096,
            "placement": "size_interval", "shards_per_zone": 1,
            "customers": self._customers(user),
            "back_ends": [
                {"name": it.name, "address": it.address, "zone": it.zone,
                 "machine": it.machine, "slots": self.slots,
                 "cold_slots": self.cold_slots, "kv_tokens": self.kv_tokens,
                 "checks_fencing": self._checks_fencing(n)}
                for n, it in enumerate(self.engines)
                if it.team == user.team]}

    def _plain_document(self, user):
        return {
            "service": user.plain_service, "team": user.team,
            "kind": "plain", "customers": self._customers(user),
            "routes": list(user.routes),
            "back_ends": [
                {"name": it.name, "address": it.address, "zone": it.zone,
                 "machine": it.machine, "slots": 64}
                for it in self.plain_servers if it.team == user.team]}

    def _settings(self, n):
        node = self.nodes[n]
        return {
            "node": node.name, "zone": node.zone, "machine": node.machine,
            "listen": node.address, "peer": self.peer_addresses[n],
            "platform": self.platform.address,
            "seeds": [it for k, it in enumerate(self.peer_addresses)
                      if k != n][:3],
            "workers": 2,
            "teams": [{"name": it.team,
                       "token_sha256": token_sha256(self.token_of(it))}
                      for it in self.users],
            "operators": [{"name": "ops", "token_sha256":
                           token_sha256(self.operator_token)}],
            "lease_ttl_ms": 6000, "lease_renew_ms": 2000,
            "log_level": "info"}

    def _write_files(self):
        for name, document in self.documents.items():
            self._write(self.document_path(name).name, document)
        for n, node in enumerate(self.nodes):
            path = self._write(node.name + ".settings.json",
                               self._settings(n))
            node.arguments = ["--config", str(path)]

    def _write(self, name, content):
        path = self.directory / name
        path.write_text(json.dumps(content, indent=1) + "\n")
        return path

    def _command(self, member):
        if member.kind == "node":
            return [str(self.build / "galenapulley"), "node"] + \
                member.arguments
        return [str(self.build / "tests" / "galenapulley_standin"),
                member.kind, "--listen", member.address] + member.arguments

    def _start_all(self, members):
        for it in members:
            if it.running():
                raise RuntimeError(it.name + " is already running")
            with open(self.directory / (it.name + ".log"), "ab") as log:
                it.process = subprocess.Popen(
                    self._command(it), stdin=subprocess.DEVNULL, stdout=log,
                    stderr=log)
        end = time.monotonic() + START_TIMEOUT_S
        for it in members:
            while not listens(it.address):
                if not it.running():
                    raise RuntimeError("%s exited with code %s: %s" % (
                        it.name, it.process.returncode, self.log_of(it)))
                if time.monotonic() > end:
                    raise RuntimeError(it.name + " doesn't listen")
                time.sleep(POLL_INTERVAL_S)
