"""A link with latency: forwards connections to an address and delays every byte by the same time each way.

usage: link.py TARGET DELAY_MS   (prints its address)
"""

import queue
import socket
import sys
import time

sys.path.insert(0, __file__.rsplit("/", 1)[0])
from standins import address_of, listener, serve, spawn  # noqa: E402

sys.setswitchinterval(0.0002)
host, port = sys.argv[1].split(":")
delay = float(sys.argv[2]) / 1000


def pump(source, sink):
    waiting = queue.SimpleQueue()

    def write():
        while True:
            due, data = waiting.get()
            left = due - time.monotonic()
            if left > 0:
                time.sleep(left)
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return

    writer = spawn(write)
    while True:
        try:
            data = source.recv(65536)
        except OSError:
            data = b""
        waiting.put((time.monotonic() + delay, data))
        if not data:
            break
    writer.join()


def connection(near):
    far = socket.create_connection((host, int(port)))
    far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    back = spawn(pump, far, near)
    pump(near, far)
    back.join()
    far.close()


sock = listener()
print(address_of(sock), flush=True)
serve(sock, connection)
sys.stdin.read()  # ends with the parent
