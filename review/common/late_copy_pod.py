"""A pod that answers every request rightly, and some answers a second time a few milliseconds later.

The second copy goes out only if nothing else is waiting on the connection: after the wait the pod looks at the
socket, and sends nothing if a byte has come. The kernel's time stamp of the next request then tells whether that
request had come before the copy was written after all (between the look and the write); such a case is marked
`unclear` and the caller does not count it.

usage: late_copy_pod.py NAME SHARE LOWEST_MS HIGHEST_MS SEED   (prints its address, then a line for each event)
"""

import random
import select
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, __file__.rsplit("/", 1)[0])
from standins import address_of, listener, response, serve  # noqa: E402

SO_TIMESTAMPNS = 35
sys.setswitchinterval(0.0002)
name, share, lowest, highest = sys.argv[1], float(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4])
rng = random.Random(int(sys.argv[5]))
lock = threading.Lock()
held = 0


def out(text):
    with lock:
        sys.stdout.write(text + "\n")
        sys.stdout.flush()


def receive(sock):
    """Bytes, and when the kernel received the last of them."""
    data, ancillary, _, _ = sock.recvmsg(65536, 64)
    for level, kind, payload in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
            seconds, nanos = struct.unpack("qq", payload[:16])
            return data, seconds + nanos / 1e9
    return data, time.time()


def has_nothing_waiting(sock):
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return False
    except BlockingIOError:
        return True


def connection(sock):
    global held
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    buffer, copied = b"", None
    while True:
        came = None
        while b"\r\n\r\n" not in buffer:
            data, at = receive(sock)
            if not data:
                return
            came = came or at
            buffer += data
        head, _, rest = buffer.partition(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode().lower().split("\r\n")[1:] if ": " in line)
        while len(rest) < int(fields.get("content-length", "0")):
            data, _ = receive(sock)
            if not data:
                return
            rest += data
        buffer = rest[int(fields.get("content-length", "0")):]
        ident = fields["x-request-id"]
        if copied:
            kind = "unclear" if came <= copied[1] else "crossing"
            out(f"{kind} {ident} came {1000 * (came - copied[1]):.3f} ms after the second copy of {copied[0]}")
            copied = None
        with lock:
            held += 1
        out(f"ran {ident}")
        time.sleep(rng.uniform(0.004, 0.016))
        with lock:
            held -= 1
            load = held
        answer = response("200 OK", f"answer for {ident} by {name}\n", f"X-Server-Load: rif={load},busy=0.2\r\n")
        sock.sendall(answer)
        if rng.random() < share:
            ready, _, _ = select.select([sock], [], [], rng.uniform(lowest, highest) / 1000)
            if not ready and has_nothing_waiting(sock):
                sock.sendall(answer)
                copied = (ident, time.time())
                out(f"copy {ident}")


sock = listener()
print(address_of(sock), flush=True)
serve(sock, connection)
sys.stdin.read()  # ends with the parent
