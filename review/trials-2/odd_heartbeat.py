"""Another writer's heartbeat names a service that no configuration names, and the
address of a sound replica. The sound replica must stay in use."""

import json
import pathlib
import sys
import time

STANDINS = pathlib.Path(__file__).resolve().parent.parent / "standins-2"
sys.path.insert(0, str(STANDINS))
sys.dont_write_bytecode = True

from reviewsite import (BROKEN, HELD, NOT_RUN, Backend, Stream,  # noqa: E402
                        call, configuration, connect, fields_of, is_ready, put,
                        request_head, route, run_case, service, wait_until)

REQUESTS = 30


def ask(address, attempt):
    fields = fields_of(attempt, 2000)
    fields["Content-Length"] = "0"
    try:
        with connect(address, 4) as connection:
            connection.sendall(request_head("POST", f"/sign/{attempt}", fields))
            head = Stream(connection).head()
            return head.first.split(" ")[1] if head else "closed"
    except OSError as error:
        return repr(error)


def play(site, record, trouble):
    controls = [f"{host.ip}:{site.caller_port}" for host in site.controls]
    entry = site.entries[0]
    address = f"{entry.ip}:{site.caller_port}"
    replica = Backend(record, "i-0", "desk", controls)
    is_up = put(controls, configuration(
        1, [route("sign", "/sign/", "non_idempotent", "desk")],
        [service("desk")])) and wait_until(lambda: is_ready(site, entry), 15)
    time.sleep(1)
    if not is_up or ask(address, "before") != "200":
        return NOT_RUN
    if trouble:
        odd = {"service": "nosuch", "address": replica.address,
               "zone": "north", "version": "v1", "slots": 1, "state": "ready",
               "coldRemainingMs": 0, "born": int(time.time() * 1000),
               "sequence": 1}
        status, _ = call(controls[0], "POST", "/-/replicas/other-1/heartbeat",
                         json.dumps(odd))
        record.write(f"the odd heartbeat is answered with {status}")
    time.sleep(1)
    answers = []
    for number in range(REQUESTS):
        answers.append(ask(address, f"after-{number}"))
        time.sleep(1)
    served = answers.count("200")
    record.write(f"{served} of {REQUESTS} requests served afterwards; others: "
                 f"{sorted(set(answers) - {'200'})}")
    return BROKEN if served * 4 < REQUESTS else HELD


sys.exit(run_case(play))
