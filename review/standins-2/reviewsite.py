"""A small site for the scripts of this review: control and entry hosts of the
project, started with the command of the deploy file, and stand-ins for backend
servers, operators and clients that keep to the users' pages.

All addresses are loopback addresses, all ports are free ones, and all files of
a run lie in a temporary folder.
"""

import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "platform" / "soak"))
sys.dont_write_bytecode = True

from soaksite import Site  # noqa: E402

PROGRAM = ROOT / "target" / "bin" / "pimentoglade"
PREFIX = "X-Pimentoglade-"
API_KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST_NAME = "ficu95.example"
HEARTBEAT_SECONDS = 0.4
# contactMs of the pages, and a little more: machines are in touch that long after
# their start.
CONTACT_SECONDS = 3.5
# Exit statuses of a case's program; run.sh gives 1, 0 and 2 for them, and 2 for
# all others, such as that of an error in the program itself.
BROKEN, HELD, NOT_RUN = 10, 0, 2


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        with self.lock:
            seconds = time.monotonic() - self.start
            self.file.write(f"{seconds:8.3f} {text}\n")
            self.file.flush()


class Head:
    """First line and headers of a message."""

    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.fields.append((name.strip().lower(), value.strip()))

    def value(self, name, default=""):
        for known, value in self.fields:
            if known == name.lower():
                return value
        return default


class Stream:
    """Reads messages of HTTP/1.1 from a socket."""

    def __init__(self, connection):
        self.connection, self.bytes = connection, b""

    def fill(self):
        more = self.connection.recv(65536)
        self.bytes += more
        return bool(more)

    def head(self):
        """The next head; None at the end of the connection."""
        while b"\r\n\r\n" not in self.bytes:
            if not self.fill():
                return None
        text, _, self.bytes = self.bytes.partition(b"\r\n\r\n")
        return Head(text)

    def exactly(self, size):
        while len(self.bytes) < size:
            if not self.fill():
                raise ConnectionError("the connection ended within a body")
        body, self.bytes = self.bytes[:size], self.bytes[size:]
        return body

    def line(self):
        while b"\r\n" not in self.bytes:
            if not self.fill():
                raise ConnectionError("the connection ended within a line")
        text, _, self.bytes = self.bytes.partition(b"\r\n")
        return text

    def chunks(self):
        """The chunks of a body, to its end."""
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return
            yield self.exactly(size)
            self.line()

    def body(self, head):
        if head.value("Transfer-Encoding").lower() == "chunked":
            return b"".join(self.chunks())
        return self.exactly(int(head.value("Content-Length", "0") or 0))


class Backend:
    """A sound backend server: reports itself, and runs each request that is
    meant for it. Subclasses change run()."""

    slots = 16

    def __init__(self, record, name, service, controls, ip="127.0.0.1",
                 zone="north", listener=None):
        self.record, self.name, self.service = record, name, service
        self.controls, self.zone = controls, zone
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.ended = False
        self.runs = []  # Time, first line, attempt id and body of each run.
        self.lock = threading.Lock()
        self.listener = listener or socket.create_server((ip, 0), backlog=128)
        self.address = "%s:%d" % self.listener.getsockname()
        self.open = set()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.report_always, daemon=True).start()

    # Service discovery

    def report_always(self):
        while not self.ended:
            if self.state != "gone":
                self.report()
            time.sleep(HEARTBEAT_SECONDS)

    def report(self):
        with self.lock:
            self.sequence += 1
            body = {"service": self.service, "address": self.address,
                    "zone": self.zone, "version": "v1", "slots": self.slots,
                    "state": self.state, "coldRemainingMs": 0,
                    "born": self.born, "sequence": self.sequence}
        body.update(self.report_fields())
        path = f"/-/replicas/{self.name}/heartbeat"
        for control in random.sample(self.controls, len(self.controls)):
            if call(control, "POST", path, json.dumps(body))[0] == 200:
                return control
        return None

    def report_fields(self):
        return {}

    # Requests

    def accept(self):
        while not self.ended:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        self.open.add(connection)
        stream = Stream(connection)
        try:
            while not self.ended:
                head = stream.head()
                if head is None or not self.request(connection, stream, head):
                    return
        except OSError:
            pass
        finally:
            self.open.discard(connection)
            connection.close()

    def request(self, connection, stream, head):
        """Handles one request; returns whether the connection goes on."""
        body = stream.body(head)
        path = head.first.split(" ")[1]
        expected = head.value(PREFIX + "Expected-Replica")
        if expected and expected != self.name:
            connection.sendall(answer(421, b"", {PREFIX + "Not-Executed": "1"}))
            return True
        if path.startswith("/healthz"):
            connection.sendall(
                answer(200, b"", {PREFIX + "Replica-Id": self.name}))
            return True
        if path.startswith("/-/"):
            return self.order(connection, head, body)
        attempt = head.value(PREFIX + "Attempt-Id")
        if not attempt:
            connection.sendall(answer(400, b"", {PREFIX + "Not-Executed": "1"}))
            return True
        self.note_run(head, attempt, body)
        return self.run(connection, head, attempt, body)

    def note_run(self, head, attempt, body):
        with self.lock:
            self.runs.append((time.monotonic(), head.first, attempt, body))
        self.record.write(f"{self.name} runs {head.first!r} id {attempt} body "
                          f"{len(body)} bytes {body[:40]!r}")

    def order(self, connection, head, body):
        text = json.dumps({"pace": 1, "born": self.born, "free": 100000})
        connection.sendall(answer(200, text.encode()))
        return True

    def run(self, connection, head, attempt, body):
        text = f"answer of {self.name} to {attempt}\n".encode() * 4
        connection.sendall(answer(200, text, self.stamp(attempt)))
        return True

    def stamp(self, attempt):
        return {PREFIX + "Attempt-Id": attempt,
                PREFIX + "Replica-Stamp": f"{self.name}.{attempt}"}

    def end(self):
        """Ends at once, as by a crash."""
        self.ended = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in list(self.open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def answer(status, body, fields=None):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def call(address, method, path, body="", timeout=1.0, redirects=2):
    """Status and body of one call to the system; status 0: no answer."""
    ip, port = address.rsplit(":", 1)
    data = body.encode()
    text = (f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: "
            f"application/json\r\nContent-Length: {len(data)}\r\n"
            "Connection: close\r\n\r\n")
    try:
        with socket.create_connection((ip, int(port)), timeout) as connection:
            connection.settimeout(timeout)
            connection.sendall(text.encode() + data)
            stream = Stream(connection)
            head = stream.head()
            if head is None:
                return 0, b""
            status = int(head.first.split(" ")[1])
            if status == 307 and redirects:
                there = head.value("Location").removeprefix("http://")
                to, _, rest = there.partition("/")
                return call(to, method, "/" + rest, body, timeout,
                            redirects - 1)
            return status, stream.body(head)
    except (OSError, ValueError):
        return 0, b""


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST_NAME, "pathPrefix": prefix,
            "routeType": kind, "timeoutMs": 5000, "sloMs": 500, "priority": 1,
            "service": service, "maxAttempts": 2, "public": False, **more}


def service(name, **more):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 300,
            "protocol": "h1", "tls": False, **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [API_KEY], "priority": 1}]}


def put(controls, config, seconds=20):
    """Sends a configuration until it is acknowledged; returns whether it
    was."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        status, _ = call(random.choice(controls), "POST", "/-/config/replace",
                         json.dumps(config), timeout=4)
        if status == 200:
            return True
        if 400 <= status < 500:
            return False
        time.sleep(0.2)
    return False


def fields_of(attempt, deadline_ms=3000, **more):
    fields = {"Host": HOST_NAME, PREFIX + "Attempt-Id": attempt,
              PREFIX + "Deadline-Ms": str(deadline_ms),
              "Authorization": "Token " + API_KEY}
    fields.update(more)
    return fields


def request_head(method, path, fields):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def connect(address, timeout=6.0):
    ip, port = address.rsplit(":", 1)
    connection = socket.create_connection((ip, int(port)), timeout)
    connection.settimeout(timeout)
    return connection


def wait_until(condition, seconds, step=0.1):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(step)
    return False


def is_ready(site, host):
    return call(f"{host.ip}:{site.ready_port}", "GET", "/-/readyz")[0] == 200


class LimitedSite(Site):
    """A site whose entry hosts have a limit of descriptors each, and write
    their logs to nowhere."""

    def __init__(self, folder, entries, descriptors):
        super().__init__(PROGRAM, folder, entries)
        self.descriptors = descriptors

    def __enter__(self):
        for host in self.entries:
            (self.folder / (host.name + ".log")).symlink_to(os.devnull)
        site = super().__enter__()
        for host in self.entries:
            resource.prlimit(host.process.pid, resource.RLIMIT_NOFILE,
                             (self.descriptors, self.descriptors))
        return site


def make_site(folder, entries, descriptors):
    if descriptors is None:
        return Site(PROGRAM, folder, entries)
    return LimitedSite(folder, entries, descriptors)


def run_case(play, entries=1, descriptors=None):
    """Starts a site, plays the case on it and ends everything. \p play gets the
    site, the record and whether there is to be trouble; it returns an exit
    status. \p descriptors: the limit of each entry host's own process."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    if not PROGRAM.exists():
        record.write(f"{PROGRAM} is missing")
        return NOT_RUN
    # All processes are ended, also where the time is over.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    result = NOT_RUN
    try:
        with make_site(work / "site", entries, descriptors) as site:
            result = play(site, record, trouble)
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(work / "site", keep, dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
    record.write(f"result {result}")
    return result
