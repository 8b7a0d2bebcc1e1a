"""A replica breaks off a few of its streams inside an event, with a last chunk:
the host passes the half event on and ends the answer as a complete one."""

import concurrent.futures
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
REPLICAS = 3            # One of them is faulty: a share of 0.33.
BREAK_OFF_EACH = 61     # x = 0.0164
EVENTS, GAP_S = 6, 0.02
CALLERS, TROUBLE_S = 12, 6.0


def event(attempt, number):
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


def call(site, host, attempt, record):
    """Sends one request; returns whether it got a short answer that ends as a
    complete one."""
    expected = b"".join(event(attempt, n) for n in range(1, EVENTS + 1))
    connection = http.client.HTTPConnection(*lib.frontend(site, host),
                                            timeout=12)
    try:
        connection.request("POST", f"/stream/{attempt}", b"x" * 1200, {
            "Host": lib.HOST_NAME, "Authorization": "Token " + lib.API_KEY,
            lib.PREFIX + "Attempt-Id": attempt,
            lib.PREFIX + "Deadline-Ms": "10000", lib.PREFIX + "Model": "m",
            lib.PREFIX + "Token-Count": "5000,258",
            lib.PREFIX + "Prefix-Hash": f"5c1e07a2:40,{attempt}:4960"})
        answer = connection.getresponse()
        body = answer.read()  # Raises unless the body is complete.
    except (OSError, http.client.HTTPException) as error:
        record.write(f"{attempt}: {error!r}")
        return False
    finally:
        connection.close()
    is_whole = body == expected
    is_short = answer.status == 200 and not is_whole
    record.write(f"{attempt}: {answer.status}, "
                 f"{'whole' if is_whole else 'complete, but it ends: '}"
                 f"{'' if is_whole else repr(body[-60:])}")
    return is_short


def caller(number, site, record, ends):
    short = sent = 0
    while time.monotonic() < ends:
        host = site.entries[(number + sent) % len(site.entries)]
        attempt = f"{number + 1:04x}{sent:012x}"
        short += call(site, host, attempt, record)
        sent += 1
    return short, sent


def main():
    record = lib.Record(HERE / "record.txt")
    replicas = []
    try:
        with lib.start_site(entries=2) as site:
            log = site.folder / "replicas.log"
            log.touch()
            for n in range(REPLICAS):
                faulty = TROUBLE and n == 0
                replicas.append(Replica(
                    site, log, n, "records-llm", events=EVENTS, gap_s=GAP_S,
                    framing="chunked",
                    break_off_each=BREAK_OFF_EACH if faulty else 0))
                replicas[-1].start()
            config = lib.routing(
                [lib.route("stream", "streaming", "records-llm", 10000, 300,
                           resumable=True, sticky=True, itlTargetMs=250)],
                [lib.service("records-llm", engine=True)])
            if not lib.store_routing(site, config) or \
                    not lib.wait_ready(site, site.entries):
                record.write("the site did not start")
                return lib.CANNOT_RUN
            time.sleep(4)
            ends = time.monotonic() + TROUBLE_S
            with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
                found = list(pool.map(
                    lambda n: caller(n, site, record, ends), range(CALLERS)))
            for line in log.read_text().splitlines():
                if " runs " in line or " breaks off " in line:
                    record.write("replica: " + line)
    finally:
        for replica in replicas:
            replica.kill()
    short = sum(s for s, _ in found)
    record.write(f"{short} of {sum(n for _, n in found)} answers were short and "
                 "ended as complete ones")
    return lib.BROKEN if short else lib.HELD


if __name__ == "__main__":
    lib.play(main)
