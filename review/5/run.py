"""A new version of the configuration gives a host's whole path space to a
service: its callers' GET /metrics is answered by the entry host itself, with
status 200 and the host's own figures, and never reaches a replica."""

import http.client
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import site_of_review as lib  # noqa: E402
from replicas import Replica  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
APPLY_S = 2.0  # configApplyMs
SIZE = 800     # Bytes of an answer.
OLD_PATHS = ["/portal/metrics", "/portal/", "/portal/1"]
NEW_PATHS = ["/metrics", "/metrics?crew=7", "/", "/1"]


def plain_body(attempt):
    line = f"answer to {attempt}\n".encode()
    return (line * (SIZE // len(line) + 1))[:SIZE]


def ask(site, host, path, attempt, record):
    """Sends one request; returns whether a success was not the replica's."""
    connection = http.client.HTTPConnection(*lib.frontend(site, host),
                                            timeout=5)
    try:
        connection.request("GET", path, headers={
            "Host": lib.HOST_NAME, "Authorization": "Token " + lib.API_KEY,
            lib.PREFIX + "Attempt-Id": attempt,
            lib.PREFIX + "Deadline-Ms": "2000"})
        answer = connection.getresponse()
        body = answer.read()
    except (OSError, http.client.HTTPException) as error:
        record.write(f"{attempt} GET {path} at {host.name}: {error!r}")
        return False
    finally:
        connection.close()
    stamp = answer.getheader(lib.PREFIX + "Replica-Stamp")
    is_foreign = 200 <= answer.status < 300 and (
        stamp is None or body != plain_body(attempt))
    record.write(f"{attempt} GET {path} at {host.name}: {answer.status}, stamp "
                 f"{stamp}, {len(body)} bytes that begin {body[:40]!r}"
                 f"{': not the answer of a replica' if is_foreign else ''}")
    return is_foreign


def main():
    record = lib.Record(HERE / "record.txt")
    replicas = []
    try:
        with lib.start_site(entries=2) as site:
            log = site.folder / "replicas.log"
            log.touch()
            replicas += [Replica(site, log, n, "portal", answer_bytes=SIZE)
                         for n in range(2)]
            for replica in replicas:
                replica.start()
            portal = lib.route("portal", "idempotent", "portal", 2000, 100)
            services = [lib.service("portal")]
            if not lib.store_routing(site, lib.routing([portal], services)) or \
                    not lib.wait_ready(site, site.entries):
                record.write("the site did not start")
                return lib.CANNOT_RUN
            time.sleep(4)
            paths = list(OLD_PATHS)
            if TROUBLE:
                whole = {**portal, "name": "whole", "pathPrefix": "/"}
                if not lib.store_routing(site, lib.routing(
                        [portal, whole], services, version=2)):
                    record.write("version 2 was not acknowledged")
                    return lib.CANNOT_RUN
                record.write("version 2 adds the prefix / of the same host and "
                             "is acknowledged")
                time.sleep(APPLY_S)
                paths += NEW_PATHS
            requests = [(host, path) for host in site.entries
                        for path in paths]
            foreign = [ask(site, host, path, f"{0x51ab0000 + n:016x}", record)
                       for n, (host, path) in enumerate(requests)]
            for line in log.read_text().splitlines():
                record.write("replica: " + line)
    finally:
        for replica in replicas:
            replica.kill()
    record.write(f"{sum(foreign)} of {len(foreign)} requests got a success that "
                 "is no replica's")
    return lib.BROKEN if any(foreign) else lib.HELD


if __name__ == "__main__":
    lib.play(main)
