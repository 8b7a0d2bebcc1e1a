"""Starts and kills the processes of replica.py."""

import json
import pathlib
import subprocess
import sys

from site_of_review import soaksite

HERE = pathlib.Path(__file__).resolve().parent


class Replica:
    """One replica's process; its address stays when it starts again."""

    def __init__(self, site, log, number, service, **options):
        self.ip = f"127.1.{1 + number % 3}.{50 + number}"
        self.port = soaksite.free_ports([self.ip], 1)[0]
        self.number, self.starts, self.process = number, 0, None
        self.options = {"service": service, "ip": self.ip, "port": self.port,
                        "zone": soaksite.ZONES[number % 3], "log": str(log),
                        "controls": site.seeds, **options}

    @property
    def id(self):
        return f"i-{self.number}-{self.starts}"

    def start(self):
        self.starts += 1
        self.process = subprocess.Popen(
            [sys.executable, str(HERE / "replica.py"),
             json.dumps({**self.options, "id": self.id})],
            stdin=subprocess.DEVNULL)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
