"""Stand-ins of the users' store, servers and clients, and the start of real
gateways with the command of the deploy file. Python's standard library only;
everything listens on loopback addresses."""

import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "galenapulley")

# Bounds of SYSTEM.md, "Tuul Gate Fish Pass Counting Deployment".
CONTACT_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8.0
HEARTBEAT_S = 1.2
CONFIG_APPLY_S = 2.0

START = time.monotonic()


def now():
    return time.monotonic() - START


class Unplayable(Exception):
    """The case couldn't run."""


_used_ports = set()


def free_port():
    """A port below the kernel's range of ephemeral ports."""
    port = 10000 + os.getpid() * 97 % 20000
    while True:
        port = port + 1 if port < 31000 else 10000
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


class Message:
    def __init__(self, start, headers, body, complete):
        self.start = start
        self.headers = headers
        self.body = body
        self.complete = complete

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


class Wire:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buf = b""

    def fill(self):
        try:
            data = self.sock.recv(65536)
        except OSError:
            data = b""
        self.buf += data
        return bool(data)

    def line(self):
        while b"\r\n" not in self.buf:
            if not self.fill():
                return None
        out, self.buf = self.buf.split(b"\r\n", 1)
        return out.decode("latin-1")

    def exactly(self, n):
        while len(self.buf) < n:
            if not self.fill():
                out, self.buf = self.buf, b""
                return out, False
        out, self.buf = self.buf[:n], self.buf[n:]
        return out, True

    def head(self):
        start = self.line()
        if start is None:
            return None
        headers = []
        while True:
            line = self.line()
            if line is None:
                return None
            if not line:
                return Message(start, headers, b"", False)
            key, _, value = line.partition(":")
            headers.append((key, value.strip()))

    def body_of(self, message, is_response):
        if message.get("Transfer-Encoding").lower() == "chunked":
            while True:
                size = self.line()
                if size is None:
                    return
                n = int(size.split(";")[0], 16)
                if n == 0:
                    message.complete = self.line() == ""
                    return
                data, whole = self.exactly(n)
                message.body += data
                if not whole or self.line() is None:
                    return
        elif message.get("Content-Length"):
            message.body, message.complete = self.exactly(
                int(message.get("Content-Length")))
        elif is_response:
            while self.fill():
                pass
            message.body, self.buf = self.buf, b""
            message.complete = True
        else:
            message.complete = True

    def message(self, is_response):
        out = self.head()
        if out is not None:
            self.body_of(out, is_response)
        return out


def reset(sock):
    """Closes a connection as the end of its process does: with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        b"\x01\x00\x00\x00\x00\x00\x00\x00")
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    try:
        sock.close()
    except OSError:
        pass


class Listener:
    """Serves connections, each on a thread of its own."""

    def __init__(self, serve, port=None):
        self.serve = serve
        self.port = port or free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.open = set()
        self.lock = threading.Lock()
        self.sock = None
        self.listen()

    def listen(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", self.port))
        self.sock.listen(256)
        threading.Thread(target=self.accept, args=(self.sock,),
                         daemon=True).start()

    def accept(self, on):
        while True:
            try:
                sock, _ = on.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if on is not self.sock:
                    reset(sock)
                    continue
                self.open.add(sock)
            threading.Thread(target=self.run, args=(sock,),
                             daemon=True).start()

    def run(self, sock):
        try:
            self.serve(sock)
        except OSError:
            pass
        with self.lock:
            self.open.discard(sock)
        try:
            sock.close()
        except OSError:
            pass

    def crash(self):
        """Its process ends: nothing listens, connections are reset."""
        with self.lock:
            listening, self.sock = self.sock, None
            connections, self.open = self.open, set()
        if listening:
            listening.shutdown(socket.SHUT_RDWR)
            listening.close()
        for sock in connections:
            reset(sock)


def reply(sock, status, headers, body):
    text = "HTTP/1.1 %d X\r\n" % status
    for key, value in headers:
        text += "%s: %s\r\n" % (key, value)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    sock.sendall(text.encode("latin-1") + body)


class Store:
    """The platform's store as PROTOCOL.md describes it."""

    def __init__(self):
        self.rows = {}
        self.ver = 100
        self.changed = threading.Condition()
        self.era = 0
        self.refusing = False
        self.listener = Listener(self.serve)
        self.address = self.listener.address

    def put(self, table, key, value):
        with self.changed:
            self.ver += 1
            self.rows[(table, key)] = (self.ver, json.dumps(value).encode())
            self.changed.notify_all()

    def remove(self, table, key):
        with self.changed:
            if self.rows.get((table, key), (0, None))[1] is None:
                return
            self.ver += 1
            self.rows[(table, key)] = (self.ver, None)
            self.changed.notify_all()

    def set_refusing(self, refusing):
        """Down: 503, "nothing was done", to every call."""
        with self.changed:
            self.refusing = refusing
            self.changed.notify_all()

    def row(self, key, ver, value):
        out = {"Table": key[0], "part": "", "Key": key[1], "Ver": ver}
        if value is None:
            out["Deleted"] = True
        else:
            out["Value"] = base64.b64encode(value).decode()
        return out

    def answer(self, sock, status, body):
        body.setdefault("Ver", self.ver)
        body.setdefault("NowMs", int(now() * 1000))
        reply(sock, status, [("Content-Type", "application/json"),
                             ("Store-Era", str(self.era))],
              json.dumps(body).encode())

    def serve(self, sock):
        wire = Wire(sock)
        while True:
            request = wire.message(False)
            if request is None or not request.complete:
                return
            target = urlsplit(request.start.split(" ")[1])
            query = {k: v[0] for k, v in
                     parse_qs(target.query, keep_blank_values=True).items()}
            call = target.path.rsplit("/", 1)[-1]
            with self.changed:
                if self.refusing:
                    status, body = 503, {}
                elif call == "rows-get":
                    status, body = self.get(query)
                elif call == "rows-feed":
                    status, body = self.feed(query)
                elif call == "rows-tx":
                    status, body = self.tx(json.loads(request.body))
                else:
                    status, body = 404, {}
                self.answer(sock, status, body)

    def get(self, query):
        first, last = query.get("From", ""), query.get("Target", "")
        keys = sorted(k for k, (_, value) in self.rows.items()
                      if k[0] == query["Table"] and value is not None and
                      k[1] >= first and (not last or k[1] < last))
        most = min(500, int(query.get("Limit") or 500))
        return 200, {"Rows": [self.row(k, *self.rows[k]) for k in keys[:most]],
                     "HasMore": len(keys) > most}

    def feed(self, query):
        after, until = int(query["After"]), now() + int(query["WaitMs"]) / 1000
        if after > self.ver:
            return 410, {}
        while True:
            if self.refusing:
                return 503, {}
            found = sorted((ver, k) for k, (ver, _) in self.rows.items()
                           if k[0] == query["Table"] and ver > after)
            left = until - now()
            if found or left <= 0:
                return 200, {"Rows": [self.row(k, *self.rows[k])
                                      for _, k in found]}
            self.changed.wait(left)

    def tx(self, call):
        for it in call.get("Precondition", []):
            known = self.rows.get((it["Table"], it["Key"]), (0, None))
            if (known[0] if known[1] is not None else 0) != it["Ver"]:
                return 412, {"Rows": []}
        self.ver += 1
        for it in call.get("Upserts", []):
            self.rows[(it["Table"], it["Key"])] = (
                self.ver, base64.b64decode(it["Value"]))
        for it in call.get("Remove", []):
            self.rows[(it["Table"], it["Key"])] = (self.ver, None)
        self.changed.notify_all()
        return 200, {"Rows": []}


class Server:
    """A server of a service. `behave(server, sock, request)` answers a
    request; without one, each request is run and answered at once."""

    def __init__(self, store, service, zone, slots=6, behave=None, ident=None):
        self.store, self.service, self.zone = store, service, zone
        self.slots, self.behave = slots, behave
        self.id = ident or "i-%s-%d" % (service, free_port())
        self.starts = 0
        self.arrived = []
        self.lock = threading.Lock()
        self.listener = Listener(self.serve)
        self.address = self.listener.address
        self.state = "ready"
        self.register()

    def register(self, state="ready"):
        self.starts += 1
        self.born = int(time.time() * 1000)
        self.state = state
        self.write()

    def write(self):
        self.store.put("servers", self.id, {
            "Service": self.service, "Address": self.address,
            "Zone": self.zone, "Version": "1", "Slots": self.slots,
            "State": self.state, "ColdRemainingMs": 0,
            "Sequence": self.starts, "born": self.born})

    def crash(self, down_s):
        """Ends and is back after some seconds, with a new id. The old entry
        goes after three heartbeat intervals of silence."""
        old = self.id
        self.listener.crash()
        threading.Timer(3 * HEARTBEAT_S,
                        lambda: self.store.remove("servers", old)).start()

        def back():
            self.id = old.split("+")[0] + "+%d" % self.starts
            self.listener.listen()
            self.register()
        threading.Timer(down_s, back).start()

    def serve(self, sock):
        wire = Wire(sock)
        while True:
            request = wire.message(False)
            if request is None or not request.complete:
                return
            wanted = request.get("Galenapulley-Expect-Instance")
            if wanted and wanted != self.id:
                reply(sock, 421, [("Galenapulley-Attempt-Id",
                                   request.get("Galenapulley-Attempt-Id"))],
                      b"")
                continue
            with self.lock:
                self.arrived.append((now(), request))
            if self.behave:
                if not self.behave(self, sock, request):
                    return
            else:
                self.run(sock, request)
            if request.get("Connection").lower() == "close":
                return

    def sealed(self, request, more=()):
        return [("Galenapulley-Attempt-Id",
                 request.get("Galenapulley-Attempt-Id")),
                ("Galenapulley-Server-Seal", "seal-" + self.id)] + list(more)

    def run(self, sock, request, body=b"done", more=()):
        reply(sock, 200, self.sealed(request, more), body)
        return True


class Gateway:
    """A machine of the class `front`, run with the deploy file's command."""

    def __init__(self, name, zone, store, seeds, folder):
        self.name, self.zone = name, zone
        self.traffic, self.ready, self.directory, self.peer, self.metrics = (
            "127.0.0.1:%d" % free_port() for _ in range(5))
        self.settings = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        # As deploy/settings.template.json makes it from SYSTEM.md's figures.
        with open(self.settings, "w") as out:
            json.dump({
                "node": name, "region": "tuul-basin", "failure_domain": zone,
                "traffic": self.traffic, "ready": self.ready,
                "directory": self.directory, "peer": self.peer,
                "metrics": self.metrics, "store": store.address,
                "seeds": seeds, "stop_grace_s": GRACE_S, "retry_base": 234,
                "retry_ratio": 0.2, "memory_return_ms": 4000,
                "bootstrap": False,
                "contracts": ["base", "drain", "config", "cost", "retry",
                              "recover", "engine", "stream", "tenants",
                              "places", "platform", "spans"],
                "processor_share": 0.17, "processor_speed": 1,
                "memory_mb": 182}, out)
        self.process = None

    def start(self):
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "gateway"], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=subprocess.STDOUT,
                env={"PATH": os.environ.get("PATH", ""),
                     "GALENAPULLEY_SETTINGS": self.settings})

    def wait_ready(self, limit_s=15):
        until = now() + limit_s
        while now() < until:
            if self.process.poll() is not None:
                raise Unplayable("%s ended at its start" % self.name)
            answer = call(self.ready, "GET /galenapulley/ready HTTP/1.1\r\n"
                          "Host: x\r\nConnection: close\r\n\r\n", 1)
            if answer is not None and " 200" in answer.start:
                return
            time.sleep(0.05)
        raise Unplayable("%s isn't ready" % self.name)

    def stop(self):
        """As the platform stops a process: SIGTERM, SIGKILL after GraceS."""
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def lines(self, event):
        with open(self.log) as log:
            return [line for line in log if '"event":"%s"' % event in line]


def call(address, text, limit_s):
    """One exchange on a connection of its own; None without an answer."""
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=1) as sock:
            sock.settimeout(limit_s)
            sock.sendall(text.encode("latin-1") if isinstance(text, str)
                         else text)
            return Wire(sock).message(True)
    except OSError:
        return None


def request_text(method, path, attempt, body="", deadline_ms=4000, more=()):
    text = "%s %s HTTP/1.1\r\nHost: h.example\r\n" % (method, path)
    text += "Galenapulley-Attempt-Id: %s\r\n" % attempt
    text += "Galenapulley-Deadline-Ms: %d\r\n" % deadline_ms
    text += "X-Api-Key: key-1\r\n"
    for key, value in more:
        text += "%s: %s\r\n" % (key, value)
    return text + "Content-Length: %d\r\n\r\n%s" % (len(body), body)


def route(name, prefix, kind, service, attempts, timeout_ms, target_ms,
          **more):
    return dict({"Name": name, "Host": "h.example", "Prefix": prefix,
                 "Kind": kind, "Service": service, "MaxAttempts": attempts,
                 "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms,
                 "Priority": 2}, **more)


ENGINE = {"Slots": 16, "KvCapacityTokens": 405000, "step_ms": 1.31,
          "per_seq_ms": 0.000917, "context_per_k": 0.00213,
          "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048,
          "Stride": 34, "HopMs": 0.1}


def configuration(version, routes, services, tenants=None):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 2000, "IdleTimeoutMs": 5000},
            "Tenants": tenants or [{"Name": "t1", "ApiKeys": ["key-1"]}]}


ZONES = ["ulaanbaatar-east", "ulaanbaatar-west", "nalaikh-site"]


class Fleet:
    """A store and gateways, one in each zone, that end with the block."""

    def __init__(self, gateways=3):
        if not os.access(PROGRAM, os.X_OK):
            raise Unplayable("target/galenapulley isn't built")
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store()
        self.gateways = []
        self.count = gateways

    def __enter__(self):
        return self

    def start(self):
        seeds = []
        for n in range(self.count):
            gateway = Gateway("front-%d" % (n + 1), ZONES[n % len(ZONES)],
                              self.store, list(seeds), self.folder.name)
            seeds.append(gateway.peer)
            self.gateways.append(gateway)
        for it in self.gateways:
            it.start()
        for it in self.gateways:
            it.wait_ready()

    def __exit__(self, *_):
        for it in self.gateways:
            it.kill()
        self.folder.cleanup()


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.out = open(path, "w")
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.out.write("%8.3f  %s\n" % (now(), text))
            self.out.flush()


def on_signal(number, _):
    raise Unplayable("ended by signal %d" % number)


def play(main):
    """Runs a case and ends the process with its exit code. A signal ends the
    processes that the case has started as well."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_signal)
    try:
        code = main()
    except Unplayable as why:
        print("the case couldn't run:", why)
        code = 2
    except Exception as why:  # a fault of the case, not of the system
        import traceback
        traceback.print_exc()
        code = 2
    os._exit(code)
