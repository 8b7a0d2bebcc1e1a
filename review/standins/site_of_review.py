"""Starts a small site of the project's own programs on loopback.

Three control hosts and some entry hosts, with the command of deploy/system.toml
and settings rendered from the templates under deploy/, as the platform renders
them (platform/soak/soaksite.py). An Operator stores the configuration; an
observer writes record.txt.
"""

import atexit
import http.client
import json
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "platform" / "soak"))

import soaksite  # noqa: E402

HOST_NAME = "review.example"
API_KEY = "review-key"
PREFIX = "X-Pimentoglade-"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """The lines of record.txt: what was sent, answered and run, and when."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
            self.file.flush()


def play(main):
    """Ends the script with the result of main(); with CANNOT_RUN if it fails or
    is told to end, after the processes it started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        result = main()
    except Exception:  # Not a result of the case.
        traceback.print_exc()
        result = CANNOT_RUN
    sys.exit(result)


def call(address, method, path, body=None, timeout=2.0):
    """Returns status and body of one call; status 0 if no answer came. Follows
    a redirect twice."""
    for _ in range(3):
        connection = http.client.HTTPConnection(address, timeout=timeout)
        try:
            connection.request(method, path, body)
            answer = connection.getresponse()
            data = answer.read()
            if answer.status != 307:
                return answer.status, data
            address = answer.getheader("Location").split("/")[2]
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()
    return 0, b""


def start_site(entries):
    """Returns a running site, a context manager (soaksite.Site)."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    program = ROOT / "target" / "bin" / "pimentoglade"
    if not program.exists():
        raise RuntimeError(f"{program} is missing: run the build first")
    return soaksite.Site(program, folder / "site", entries)


def store_routing(site, config, seconds=20):
    """Sends the configuration until it is acknowledged; returns whether."""
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        for seed in site.seeds:
            status, _ = call(seed, "POST", "/-/config/replace",
                             json.dumps(config), timeout=4)
            if status == 200:
                return True
        time.sleep(0.2)
    return False


def wait_ready(site, hosts, seconds=20):
    """Waits until the hosts answer the load balancer's question with 200."""
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        answers = [call(f"{h.ip}:{site.ready_port}", "GET", "/-/readyz")[0]
                   for h in hosts]
        if all(status == 200 for status in answers):
            return True
        time.sleep(0.1)
    return False


def frontend(site, host):
    return host.ip, site.caller_port


def routing(routes, services, version=1):
    """A configuration in the form of the users' page PROTOCOL."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "hule930", "apiKeys": [API_KEY], "priority": 1}]}


def route(name, kind, service, timeout_ms, slo_ms, **more):
    return {"name": name, "host": HOST_NAME, "pathPrefix": f"/{name}/",
            "routeType": kind, "timeoutMs": timeout_ms, "sloMs": slo_ms,
            "priority": 1, "service": service, "maxAttempts": 2,
            "public": False, **more}


def head_of(method, path, attempt, deadline_ms, size=0, more=()):
    """The bytes of a request's head."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}",
             f"{PREFIX}Attempt-Id: {attempt}",
             f"{PREFIX}Deadline-Ms: {deadline_ms}",
             f"Authorization: Token {API_KEY}", f"Content-Length: {size}"]
    lines += [f"{name}: {value}" for name, value in more]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


ENGINE_SHEET = {
    "slots": 16, "kvCapacity": 232000, "kvBytes": 327680, "stride": 43,
    "models": [{"name": "m"}], "step_ms": 1.02, "per_seq_ms": 0.00226,
    "context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138,
    "chunk": 2048, "report_lag_ms": 200.0, "hopMs": 0.075}


def service(name, engine=False):
    found = {"name": name, "healthPath": "/healthz", "maxConnections": 374,
             "protocol": "h1", "tls": False}
    if engine:
        found["engine"] = ENGINE_SHEET
    return found
