"""Clients leave before their answers, and their channels are reset as they do.
The host must let go of what it sent to replicas, and send nothing more."""

import os
import pathlib
import socket
import struct
import sys
import threading
import time

STANDINS = pathlib.Path(__file__).resolve().parent.parent / "standins-2"
sys.path.insert(0, str(STANDINS))
sys.dont_write_bytecode = True

from reviewsite import (  # noqa: E402
    BROKEN, CONTACT_SECONDS, HELD, NOT_RUN, Backend, Stream, answer,
    configuration, connect, fields_of, is_ready, put, request_head, route,
    run_case, service, wait_until)

ROUNDS = 10         # One client leaves in each, and one stays.
WORK_SECONDS = 4.0     # Of a replica on a request.
LEAVE_SECONDS = 0.4    # After sending the request.
ALLOWED_SECONDS = 0.5  # After the close.
FEW = 3                # Requests that may reach replicas later.
OBJECTIVE_MS = 800
RESET = struct.pack("ii", 1, 0)  # SO_LINGER value: close() sends a TCP reset.


class Worker(Backend):
    """Works on each request for WORK_SECONDS, unless the host closes the
    connection; answers those on /look/quick/ at once."""

    def __init__(self, *arguments):
        self.spans = []  # Attempt id, begin and end of work.
        super().__init__(*arguments)

    def run(self, connection, head, attempt, body):
        if "/quick/" in head.first:
            return super().run(connection, head, attempt, body)
        began = time.monotonic()
        connection.settimeout(0.05)
        goes_on = True
        while goes_on and time.monotonic() < began + WORK_SECONDS:
            try:
                goes_on = connection.recv(1) != b""
            except TimeoutError:
                pass
            except OSError:
                goes_on = False
        ended = time.monotonic()
        self.spans.append((attempt, began, ended))
        self.record.write(f"{self.name} worked {ended - began:.2f} s on "
                          f"{attempt}, {'to the end' if goes_on else 'host left'}")
        if not goes_on:
            return False
        connection.settimeout(None)
        connection.sendall(answer(200, b"x" * 100, self.stamp(attempt)))
        return True


def leave(record, address, number, trouble, closes):
    """Sends a request and leaves before its answer. With trouble, the close
    resets the channel: by an abort, or since an answer to an earlier request
    on it was left unread."""
    attempt = f"left-{number}"
    connection = connect(address)
    request = request_head("GET", f"/look/{attempt}", fields_of(attempt, 8000))
    is_abort = number % 2 == 0
    if trouble and not is_abort:
        quick = f"quick-{number}"
        request = request_head("GET", f"/look/quick/{quick}",
                               fields_of(quick, 8000)) + request
    connection.sendall(request)
    time.sleep(LEAVE_SECONDS)
    if trouble and is_abort:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    closes[attempt] = time.monotonic()
    connection.close()
    how = "as usual"
    if trouble:
        how = "by an abort" if is_abort else "with an unread answer"
    record.write(f"client of {attempt} closed its channel {how}")


def stay(record, address, number, outcomes):
    """Sends a request and waits for its answer."""
    attempt = f"stayed-{number}"
    with connect(address) as connection:
        connection.sendall(request_head("GET", f"/look/quick/{attempt}",
                                        fields_of(attempt, 8000)))
        head = Stream(connection).head()
    outcomes.append(head is not None and " 200 " in head.first)
    record.write(f"client of {attempt} got {head.first if head else 'nothing'}")


def processor_seconds(host):
    fields = pathlib.Path(f"/proc/{host.process.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def play(site, record, trouble):
    controls = [f"{host.ip}:{site.caller_port}" for host in site.controls]
    entry = site.entries[0]
    address = f"{entry.ip}:{site.caller_port}"
    replicas = [Worker(record, f"i-{n}", "desk", controls) for n in range(3)]
    routes = [route("look", "/look/", "idempotent", "desk", timeoutMs=10000,
                    sloMs=OBJECTIVE_MS)]
    is_up = put(controls, configuration(1, routes, [service("desk")])) and \
        wait_until(lambda: is_ready(site, entry), 15)
    if not is_up:
        return NOT_RUN
    time.sleep(CONTACT_SECONDS)
    closes, outcomes, clients = {}, [], []
    before, began = processor_seconds(entry), time.monotonic()
    for number in range(ROUNDS):
        for client in (
                threading.Thread(target=leave, args=(
                    record, address, number, trouble, closes)),
                threading.Thread(target=stay, args=(
                    record, address, number, outcomes))):
            client.start()
            clients.append(client)
        time.sleep(0.5)
    for client in clients:
        client.join()
    time.sleep(WORK_SECONDS + 3)
    share = (processor_seconds(entry) - before) / (time.monotonic() - began)
    spans = [span for replica in replicas for span in replica.spans]
    late = {attempt for attempt, begin, end in spans
            if attempt in closes and end > closes[attempt] + ALLOWED_SECONDS
            and begin < closes[attempt] + ALLOWED_SECONDS}
    reached = [attempt for attempt, begin, _ in spans if attempt in closes
               and begin > closes[attempt] + ALLOWED_SECONDS]
    record.write(f"{len(closes)} clients left, {sum(outcomes)} stayed and were "
                 f"served; {len(late)} of their requests "
                 f"were still worked on {ALLOWED_SECONDS} s later; "
                 f"{len(reached)} requests reached a replica later than that; "
                 f"processor share of the entry host {share:.2f}")
    if len(closes) < ROUNDS or not spans:
        return NOT_RUN
    is_broken = len(late) * 4 > len(closes) or len(reached) > FEW
    return BROKEN if is_broken else HELD


sys.exit(run_case(play))
