#!/usr/bin/env python3
"""Runs a site of three hosts on loopback, with stand-ins for backend servers.

    scripts/site.py --build build           runs the demonstration and stops
    scripts/site.py --build build --keep    leaves the site up until Ctrl-C

Settings and documents come from examples/; only ports, folders and files are
replaced. With --keep, build/site/site.json describes the running site.
"""

import argparse
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOSTS = ["north-1", "centre-1", "south-1"]
OPERATOR_TOKEN = "sample-operator-token"
BACKEND_TOKEN = "sample-backend-token"
DOCUMENTS = ["crew-assistant", "crew-ledger"]
ACCOUNTS = ["aurora-air", "brisa-lines", "cumbre-jet"]
MODEL = "atlas"
PLAIN_SERVICE = "crew-ledger"
NON_REPEATABLE_CALL = "signoffs"
ENGINES = 4
LEDGERS = 2
ENGINE_MEMORY_TOKENS = 400_000
BYTES_PER_TOKEN = 4
START_SECONDS = 60


def account_token(account):
    return account + "-sample-token"


class Site:
    """The processes of one site; kills all of them when the context ends."""

    def __init__(self, build):
        self.bin = build / "bin"
        self.folder = build / "site"
        self.processes = []
        self.ports = set()
        self.hosts = []
        self.backends = []
        self.journals = []

    def __enter__(self):
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()

    def free_port(self, ip):
        """Returns a free port at this IP, different at each call."""
        while True:
            with socket.socket() as probe:
                probe.bind((ip, 0))
                port = probe.getsockname()[1]
            if port not in self.ports:
                self.ports.add(port)
                return port

    def spawn(self, name, arguments):
        log = open(self.folder / (name + ".out"), "wb")
        process = subprocess.Popen(
            [str(argument) for argument in arguments],
            stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=self.folder)
        log.close()
        self.processes.append(process)
        return process

    # Hosts

    def write_settings(self):
        """Writes the example settings with free ports in place of theirs."""
        texts = {name: (ROOT / "examples/three-hosts" / (name + ".ini"))
                 .read_text() for name in HOSTS}
        addresses = sorted(set(re.findall(r"127\.0\.0\.\d+:\d+",
                                          "".join(texts.values()))))
        replaced = {}
        for address in addresses:
            ip = address.split(":")[0]
            replaced[address] = f"{ip}:{self.free_port(ip)}"
        for folder in ("data", "log"):
            (self.folder / folder).mkdir()
        for name, text in texts.items():
            for old, new in replaced.items():
                text = text.replace(old, new)
            (self.folder / (name + ".ini")).write_text(text)

    def start_host(self, name):
        settings = self.folder / (name + ".ini")
        text = settings.read_text()
        value = lambda key: re.search(rf"^{key} = (.*)$", text, re.M).group(1)
        process = self.spawn(name, [self.bin / "pimentoglade",
                                    f"--settings={settings}"])
        self.hosts.append({
            "name": name,
            "dataCentre": value("data_centre"),
            "caller": "http://" + value("caller_address"),
            "operator": "http://" + value("operator_address"),
            "pid": process.pid,
            "settings": str(settings),
            "dataFolder": str(self.folder / value("data_folder")),
        })

    # Backend servers

    def start_backends(self):
        announce_to = ",".join(host["caller"].removeprefix("http://")
                               for host in self.hosts)
        common = [f"--announce_to={announce_to}",
                  f"--announce_token={BACKEND_TOKEN}"]
        centres = [host["dataCentre"] for host in self.hosts]
        for index in range(ENGINES):
            name = f"engine-{index + 1}"
            process = self.spawn(name, [
                self.bin / "fake-engine", f"--id={name}", *common,
                f"--data_centre={centres[index % len(centres)]}",
                f"--models={MODEL},{MODEL}-crew,{MODEL}-2026-10",
                f"--memory_tokens={ENGINE_MEMORY_TOKENS}",
                "--answer_tokens=40", "--decode_interval_us=5000",
                f"--ready_file={self.folder / (name + '.ready')}"])
            self.backends.append({"id": name, "kind": "engine",
                                  "pid": process.pid})
        for index in range(LEDGERS):
            name = f"ledger-{index + 1}"
            journal = self.folder / (name + ".journal")
            process = self.spawn(name, [
                self.bin / "fake-ledger", f"--id={name}", *common,
                f"--data_centre={centres[index % len(centres)]}",
                f"--service={PLAIN_SERVICE}", f"--journal={journal}",
                f"--ready_file={self.folder / (name + '.ready')}"])
            self.backends.append({"id": name, "kind": "plain",
                                  "pid": process.pid})
            self.journals.append(str(journal))
        for backend in self.backends:
            ready = self.folder / (backend["id"] + ".ready")
            wait_until(ready.exists, backend["id"] + " to be ready")
            text = ready.read_text()
            if text.strip().startswith("{"):
                backend["address"] = json.loads(text).get("address")

    # The site as a whole

    def start(self):
        self.write_settings()
        for name in HOSTS:
            self.start_host(name)
        for host in self.hosts:
            wait_until(lambda: get_status(host["caller"] + "/readyz") == 200,
                       host["name"] + " to be ready")
        self.start_backends()
        for document in DOCUMENTS:
            self.put_document(document)
        wait_until(self.serves_requests, "the model and the ledger to answer")

    def put_document(self, name):
        text = self.run_ctl("document", "put",
                            ROOT / "examples/documents" / (name + ".json"))
        print("document " + text.strip())

    def run_ctl(self, *words):
        """Runs pimentogladectl with all hosts; returns its standard output."""
        operators = ",".join(host["operator"] for host in self.hosts)
        done = subprocess.run(
            [str(self.bin / "pimentogladectl"), *map(str, words)],
            env=os.environ | {"PIMENTO_OPERATOR": operators,
                              "PIMENTO_OPERATOR_TOKEN": OPERATOR_TOKEN},
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
            stderr=subprocess.PIPE, text=True, timeout=START_SECONDS)
        if done.returncode != 0:
            raise SystemExit(f"pimentogladectl {words[0]}: exit status "
                             f"{done.returncode}\n{done.stderr}")
        return done.stdout

    def serves_requests(self):
        """Returns whether each host serves a short prompt and a look-up."""
        for host in self.hosts:
            status, _ = call(host["caller"] + "/v1/completions",
                             account_token(ACCOUNTS[0]),
                             completion("ready?", stream=False, tokens=1))
            if status != 200:
                return False
            status, _ = call(
                f"{host['caller']}/v1/services/{PLAIN_SERVICE}"
                "/calls/lookups/ready", account_token(ACCOUNTS[0]))
            if status != 200:
                return False
        return True

    def description(self):
        return {
            "hosts": self.hosts,
            "accounts": {name: account_token(name) for name in ACCOUNTS},
            "operatorToken": OPERATOR_TOKEN,
            "models": [MODEL],
            "plainService": PLAIN_SERVICE,
            "nonRepeatableCall": NON_REPEATABLE_CALL,
            "ledgerJournals": self.journals,
            "backends": self.backends,
        }

    def write_description(self):
        """Writes site.json atomically; its presence means the site is ready."""
        partial = self.folder / "site.json.tmp"
        partial.write_text(json.dumps(self.description(), indent=2) + "\n")
        os.replace(partial, self.folder / "site.json")


def wait_until(condition, description):
    deadline = time.monotonic() + START_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise SystemExit(f"gave up waiting for {description}")
        time.sleep(0.1)


def get_status(url):
    try:
        with urllib.request.urlopen(url, timeout=5) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def request(url, token, body=None, method=None, headers=None):
    all_headers = {"Authorization": "Bearer " + token}
    if body is not None:
        all_headers["Content-Type"] = "application/json"
    all_headers.update(headers or {})
    return urllib.request.Request(url, data=body, headers=all_headers,
                                  method=method)


def call(url, token, body=None, method=None, headers=None):
    """Returns status and body; status 0 if there was no response."""
    try:
        with urllib.request.urlopen(request(url, token, body, method, headers),
                                    timeout=120) as reply:
            return reply.status, reply.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError as error:
        return 0, str(error).encode()


def completion(prompt, stream, tokens=40):
    return json.dumps({"model": MODEL, "prompt": prompt, "stream": stream,
                       "max_tokens": tokens}).encode()


# The demonstration


def check_stream(site):
    url = site.hosts[0]["caller"] + "/v1/completions"
    body = completion("Summarise the file of trainee 4711.", stream=True)
    pieces, done = [], False
    with urllib.request.urlopen(
            request(url, account_token(ACCOUNTS[0]), body), timeout=60) as reply:
        for line in reply:
            text = line.decode().strip()
            if text == "data: [DONE]":
                done = True
            elif text.startswith("data: "):
                choice = json.loads(text[len("data: "):])["choices"][0]
                pieces.append(choice.get("text", ""))
    print(f"streamed completion: {len(pieces)} events, done={done}: "
          f"{''.join(pieces)[:60]}...")
    return done and len(pieces) > 1


def check_long_prompt(site):
    """Sends a prompt longer than twice the memory of one engine."""
    tokens = ENGINE_MEMORY_TOKENS * 5 // 2
    prompt = "base history " * (tokens * BYTES_PER_TOKEN // 13)
    started = time.monotonic()
    status, body = call(site.hosts[1]["caller"] + "/v1/completions",
                        account_token(ACCOUNTS[1]),
                        completion(prompt, stream=False))
    seconds = time.monotonic() - started
    if status != 200:
        print(f"long prompt: {status} {body.decode()}")
        return False
    usage = json.loads(body)["usage"]
    print(f"long prompt: {usage['prompt_tokens']} tokens (one engine holds "
          f"{ENGINE_MEMORY_TOKENS}), {usage['completion_tokens']} tokens of "
          f"answer, {seconds:.1f} s")
    return usage["prompt_tokens"] > 2 * ENGINE_MEMORY_TOKENS


def check_repeated_sign_off(site):
    """Sends a call with the same key through two hosts; it must run once."""
    key = f"drill-{time.time_ns()}"
    body = b'{"trainee": 4711, "drill": "evacuation", "result": "pass"}'
    answers = []
    for host in site.hosts[:2]:
        url = (f"{host['caller']}/v1/services/{PLAIN_SERVICE}/calls/"
               f"{NON_REPEATABLE_CALL}")
        answers.append(call(url, account_token(ACCOUNTS[0]), body,
                            headers={"Idempotency-Key": key}))
    ran = sum(key == json.loads(line)["key"] for path in site.journals
              for line in pathlib.Path(path).read_text().splitlines())
    print(f"sign-off sent twice: {answers[0][0]} and {answers[1][0]}, same "
          f"answer={answers[0] == answers[1]}, ran {ran} time(s): "
          f"{answers[0][1].decode().strip()}")
    return answers[0][0] == 200 and answers[0] == answers[1] and ran == 1


def run_demonstration(site):
    steps = [check_stream, check_long_prompt, check_repeated_sign_off]
    return all([step(site) for step in steps])


def wait_for_interrupt(site):
    site.write_description()
    print(f"site is up: {site.folder / 'site.json'}; Ctrl-C stops it",
          flush=True)
    stop = []
    signal.signal(signal.SIGTERM, lambda *_: stop.append(True))
    signal.signal(signal.SIGINT, lambda *_: stop.append(True))
    while not stop:
        time.sleep(0.2)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", type=pathlib.Path)
    parser.add_argument("--keep", action="store_true")
    arguments = parser.parse_args()
    with Site(arguments.build.resolve()) as site:
        site.start()
        if not arguments.keep:
            succeeded = run_demonstration(site)
            print("quickstart: " + ("everything answered" if succeeded
                                    else "something failed, see above"))
            return 0 if succeeded else 1
        wait_for_interrupt(site)
    return 0


if __name__ == "__main__":
    sys.exit(main())
