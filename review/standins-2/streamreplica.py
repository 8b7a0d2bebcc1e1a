"""An engine as a process of its own, so that a signal can kill it.

    streamreplica.py NAME SERVICE CONTROL,CONTROL,... DESCRIPTOR SILENT_SECONDS

It has its listening socket from its supervisor, which keeps it open while the
engine starts again, and is silent for the given time: the kernel takes its
connections, and it reads, answers and reports nothing. Its streams have neither
a length nor chunks and end with their connection. It prints what it runs.
"""

import socket
import sys
import time

from halfreplica import Printer
from reviewsite import Backend

EVENTS = 48
EVENT_SECONDS = 0.25


class StreamReplica(Backend):
    def run(self, connection, head, attempt, body):
        first = int(head.value("Last-Event-Id", "0") or 0) + 1
        lines = ["HTTP/1.1 200 OK", "Connection: close",
                 "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}"
                  for name, value in self.stamp(attempt).items()]
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, EVENTS + 1):
            time.sleep(EVENT_SECONDS)
            connection.sendall(f"id: {number}\ndata: {attempt}\n\n".encode())
        self.record.write(f"{self.name} sent all of {attempt}")
        return False


if __name__ == "__main__":
    listener = socket.socket(fileno=int(sys.argv[4]))
    time.sleep(float(sys.argv[5]))
    StreamReplica(Printer(), sys.argv[1], sys.argv[2], sys.argv[3].split(","),
                  listener=listener)
    while True:
        time.sleep(1)
