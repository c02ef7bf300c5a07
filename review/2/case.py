"""Bad clients that ask for a class that does not exist and keep their connections; see claim.txt."""

import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standins import *  # noqa: E402,F403

BAD = int(os.environ.get("BAD", "300"))
# What a bad client sends: `noclass` asks for a class that does not exist, `silent` sends nothing (a control).
WHAT = os.environ.get("WHAT", "noclass")
SECONDS, BAD_FROM, BAD_UNTIL = 30.0, 5.0, 20.0
# Half a second after its time, and 50 ms by which each limit grows on sockets.
LIMIT_MS, SLACK = 2500, 0.55
WORKERS = 10


def pod(sock):
    reader = Reader(sock)
    while True:
        message = reader.message()
        if message is None:
            return
        time.sleep(0.02)
        sock.sendall(response("200 OK", f"answer for {message[1]['x-request-id']}\n", "X-Server-Load: rif=1,busy=0.1\r\n"))


def play(folder, record):
    breaks, counts, bad_counts = [], {}, {}
    lock = threading.Lock()
    endpoints = []
    for number in range(3):
        sock = listener()
        serve(sock, pod)
        endpoints.append(endpoint(f"s-{number}", address_of(sock)))
    discovery, platform = Discovery(endpoints), Platform()
    sidecar = Sidecar(folder, "n0", base_config(discovery.address, platform.address, endpoints, sockets=256))
    try:
        sidecar.wait_ready()
        began = time.monotonic()
        now = lambda: time.monotonic() - began  # noqa: E731

        def count(table, key):
            with lock:
                table[key] = table.get(key, 0) + 1

        def one_request(name, rng, sock):
            """A usual client's request; returns its connection if that may be used again."""
            ident = f"{rng.getrandbits(64):016x}"
            started = time.monotonic()  # moved to the last byte once that is written
            try:
                if sock is None:
                    sock = socket.create_connection(sidecar.at, 3.0)
                sock.settimeout(LIMIT_MS / 1000 + SLACK + 3.0)
                sock.sendall(request("scoreboard", ident, LIMIT_MS))
                started = time.monotonic()
                record.write(f"{name} sends {ident}")
                message = Reader(sock).message()
                status = message[0].split()[1] if message else "closed"
            except OSError as error:
                message, status = None, type(error).__name__
            took = time.monotonic() - started
            record.write(f"{name} {ident} gets {status} after {took:.3f} s")
            count(counts, status)
            if took > LIMIT_MS / 1000 + SLACK or message is None:
                with lock:
                    breaks.append(f"{name} {ident}: {status} after {took:.2f} s, time limit {LIMIT_MS / 1000} s")
            elif status == "200" and message[2] != f"answer for {ident}\n".encode():
                with lock:
                    breaks.append(f"{name} {ident}: foreign answer {message[2]!r}")
            if message and message[1].get("connection", "").lower() != "close":
                return sock
            if sock:
                sock.close()
            return None

        def usual(number):
            """Keeps a connection for a while and then opens another, as a client process that comes and goes."""
            rng = random.Random(number)
            sock, left = None, 0
            while now() < SECONDS - 5:
                time.sleep(rng.expovariate(1 / 0.15))
                if left == 0:
                    if sock:
                        sock.close()
                    sock, left = None, rng.randrange(3, 9)
                sock = one_request(f"client {number}", rng, sock)
                left = left - 1 if sock else 0

        def bad(number):
            time.sleep(BAD_FROM - now() if now() < BAD_FROM else 0)
            while now() < BAD_UNTIL:
                started = time.monotonic()
                try:
                    with socket.create_connection(sidecar.at, 3.0) as sock:
                        if WHAT == "noclass":
                            sock.sendall(b"GET /nosuch/ HTTP/1.1\r\nHost: service.internal\r\nX-Priority-Class: nosuch\r\nX-Request-ID: b%d\r\n"
                                         b"X-Timeout-Ms: 2000\r\n\r\n" % number)
                        sock.settimeout(max(0.1, BAD_UNTIL - now()))
                        while True:
                            data = sock.recv(4096)
                            record.write(f"bad {number} reads {data[:40]!r} after {time.monotonic() - started:.2f} s")
                            count(bad_counts, data[9:12].decode() if data else "close")
                            if not data:
                                break
                except OSError as error:
                    count(bad_counts, type(error).__name__)

        threads = [spawn(usual, number) for number in range(WORKERS)]
        if TROUBLE:
            threads += [spawn(bad, number) for number in range(BAD)]
        for thread in threads:
            thread.join(60)
        if sidecar.process.poll() is not None:
            breaks.append(f"the sidecar ended with {sidecar.process.returncode}")
        record.say("the sidecar's log: " + " | ".join(l for l in sidecar.log().split("\n") if "bound" in l)[-400:])
    finally:
        sidecar.stop()
    record.say(f"usual clients: {dict(sorted(counts.items()))}; bad clients read: {dict(sorted(bad_counts.items()))}")
    if not counts.get("200"):
        raise CannotRun("no request was served")
    return breaks


main(HERE, play)
