"""A backend server as a process of its own, so that a signal can kill it.

    halfreplica.py NAME SERVICE CONTROL,CONTROL,...

Its answers have neither a length nor chunks and end with their connection.
One on /half/ comes in two halves, with a pause of PAUSE_SECONDS between them;
the digest of the whole body is in the head. It prints its address, and a line
for each half that it has sent.
"""

import base64
import hashlib
import sys
import time

from reviewsite import Backend

PAUSE_SECONDS = 0.6
BODY_BYTES = 16000


def whole_body(attempt):
    line = f"record of {attempt}\n".encode()
    return (line * (BODY_BYTES // len(line) + 1))[:BODY_BYTES]


def digest(body):
    return "sha-256=" + base64.b64encode(hashlib.sha256(body).digest()).decode()


class Printer:
    def write(self, text):
        print(text, flush=True)


class HalfReplica(Backend):
    def run(self, connection, head, attempt, body):
        whole = whole_body(attempt)
        lines = ["HTTP/1.1 200 OK", "Connection: close",
                 f"Digest: {digest(whole)}"]
        lines += [f"{name}: {value}"
                  for name, value in self.stamp(attempt).items()]
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        middle = len(whole) // 2
        connection.sendall(whole[:middle])
        self.record.write(f"{self.name} sent half of {attempt}")
        time.sleep(PAUSE_SECONDS)
        connection.sendall(whole[middle:])
        self.record.write(f"{self.name} sent all of {attempt}")
        return False


if __name__ == "__main__":
    server = HalfReplica(Printer(), sys.argv[1], sys.argv[2],
                         sys.argv[3].split(","))
    print(f"address {server.address}", flush=True)
    while True:
        time.sleep(1)
