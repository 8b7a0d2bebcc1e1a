"""A stand-in for one replica, a process of its own.

    replica.py '{"id": ..., "service": ..., "ip": ..., "port": ...,
                 "controls": [...], "log": ..., ...}'

It behaves as the users' pages say: sends heartbeats, answers health checks and
load reports, refuses requests meant for another replica with 421, and answers
each request whole. What it runs goes to its log, one line each.

Options: "break_off_each" (each so manieth stream of it ends inside an event,
with the last chunk), "events" and "gap_s" (of a stream), "framing" of streams: "chunked" or
"close" (neither length nor chunks, ends with its channel), "answer_bytes" and
"work_s" of a plain answer.
"""

import http.client
import http.server
import itertools
import json
import sys
import threading
import time

PREFIX = "X-Pimentoglade-"
HEARTBEAT_SECONDS = 0.4
BORN = int(time.time() * 1000)
OPTIONS = json.loads(sys.argv[1])
LOG_LOCK = threading.Lock()
STREAMS = itertools.count(1)


def log(text):
    with LOG_LOCK, open(OPTIONS["log"], "a", encoding="utf-8") as out:
        out.write(f"{time.monotonic():.3f} {OPTIONS['id']} {text}\n")


def event(attempt, number):
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


def plain_body(attempt, size):
    line = f"answer to {attempt}\n".encode()
    return (line * (size // len(line) + 1))[:size]


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # One write for each event.
    wbufsize = 0

    def log_message(self, *_):
        pass

    def answer(self, status, body=b"", **headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        size = int(self.headers.get("Content-Length", 0))
        while size > 0:
            size -= len(self.rfile.read(min(size, 1 << 20)))
        self.attempt = self.headers.get(PREFIX + "Attempt-Id", "")
        expected = self.headers.get(PREFIX + "Expected-Replica")
        if self.path == "/healthz":
            self.answer(200, X_Pimentoglade_Replica_Id=OPTIONS["id"])
        elif expected not in (None, OPTIONS["id"]):
            self.answer(421, X_Pimentoglade_Not_Executed="1")
        elif self.path == "/-/report":
            self.report()
        elif self.path == "/-/order":
            self.answer(200, b'{"free":100000}',
                        Content_Type="application/json")
        elif "/stream" in self.path:
            self.stream()
        else:
            log(f"runs {self.attempt}")
            time.sleep(OPTIONS.get("work_s", 0.02))
            body = plain_body(self.attempt, OPTIONS.get("answer_bytes", 800))
            self.answer(200, body, X_Pimentoglade_Attempt_Id=self.attempt,
                        X_Pimentoglade_Replica_Stamp=OPTIONS["id"] + ".1")
            log(f"answered {self.attempt}")

    do_GET = do_POST

    def report(self):
        report = {"phase": "colocated", "busy": False, "sequence": 0,
                  "models": [{"name": "m", "version": 1, "adapters": []}],
                  "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 232000,
                  "kvHandles": 0, "pace": 1.0, "born": BORN}
        self.answer(200, json.dumps(report).encode(),
                    Content_Type="application/json")

    def stream(self):
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        last = OPTIONS["events"]
        each = OPTIONS.get("break_off_each", 0)
        is_broken = each > 0 and next(STREAMS) % each == 0 and first < last
        log(f"runs {self.attempt} from event {first}")
        chunked = OPTIONS.get("framing", "close") == "chunked"
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header(PREFIX + "Attempt-Id", self.attempt)
        self.send_header(PREFIX + "Replica-Stamp", OPTIONS["id"] + ".1")
        if chunked:
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self.send_header("Connection", "close")
            self.close_connection = True
        self.end_headers()
        for number in range(first, last + 1):
            time.sleep(OPTIONS["gap_s"])
            data = event(self.attempt, number)
            if is_broken and number >= (first + last) // 2:
                self.piece(data[:len(data) // 2], chunked)
                log(f"breaks off {self.attempt} inside event {number}")
                break
            self.piece(data, chunked)
            log(f"wrote {self.attempt} event {number}")
        if chunked:
            self.wfile.write(b"0\r\n\r\n")
        log(f"answered {self.attempt}")

    def piece(self, data, chunked):
        if chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.wfile.write(data)

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass  # The caller has left.


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


def heartbeats():
    sequence = 0
    while True:
        sequence += 1
        body = json.dumps({
            "service": OPTIONS["service"], "zone": OPTIONS["zone"],
            "address": f"{OPTIONS['ip']}:{OPTIONS['port']}", "version": "v1",
            "slots": 16, "state": "ready", "coldRemainingMs": 0,
            "phase": "colocated", "born": BORN, "sequence": sequence,
            "models": [{"name": "m", "version": 1, "adapters": []}]})
        for control in OPTIONS["controls"]:
            connection = http.client.HTTPConnection(control, timeout=1)
            try:
                connection.request(
                    "POST", f"/-/replicas/{OPTIONS['id']}/heartbeat", body)
                if connection.getresponse().status == 200:
                    break
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()
        time.sleep(HEARTBEAT_SECONDS)


if __name__ == "__main__":
    server = Server((OPTIONS["ip"], OPTIONS["port"]), Handler)
    log("started")
    threading.Thread(target=heartbeats, daemon=True).start()
    server.serve_forever()
