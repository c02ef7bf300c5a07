"""Stand-ins for pods, discovery, the platform and clients, and helpers that start the sidecar.

Everything listens on loopback addresses and on ports that the system chooses. The stand-ins follow PROTOCOL.md;
what a case needs beyond that is in the case's own script.
"""

import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LIBC = ctypes.CDLL(None)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The command of the deploy file's `run`; operators' settings are given in $STAGEPOND_OPERATORS.
RUN = "exec target/release/stagepond serve"


def end_with_parent():
    """Runs in a child before its program: the kernel ends the child should this script be killed."""
    LIBC.prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


class CannotRun(Exception):
    """The case could not be played; exit code 2."""


class Record:
    """`record.txt`: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1 << 16)
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)

    def close(self):
        with self.lock:
            self.file.flush()
            self.file.close()


def listener(address="127.0.0.1", backlog=1024):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, 0))
    sock.listen(backlog)
    return sock


def address_of(sock):
    host, port = sock.getsockname()
    return f"{host}:{port}"


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def spawn(target, *args):
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def message(self):
        """Returns (first line, headers, body), or None at the end of the connection."""
        while b"\r\n\r\n" not in self.buffer:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        head, _, rest = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(rest) < length:
            data = self.sock.recv(65536)
            if not data:
                return None
            rest += data
        self.buffer = rest[length:]
        return lines[0], headers, rest[:length]


def serve(sock, handler):
    """Accepts connections and gives each to `handler` in a thread of its own."""

    def one(connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            handler(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def accept():
        while True:
            try:
                connection, _ = sock.accept()
            except OSError:
                return
            spawn(one, connection)

    spawn(accept)


def response(status, body, headers=""):
    if isinstance(body, str):
        body = body.encode()
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Discovery:
    """Discovery's agent: the whole list at once, each later list whole too, an empty line every 2 s.

    `form` makes the text of a list; a list is a JSON object on one line unless a case says otherwise.
    """

    def __init__(self, endpoints, form=lambda value: json.dumps(value)):
        self.endpoints, self.index, self.form = endpoints, 1, form
        self.changed = threading.Condition()
        self.sock = listener()
        self.address = address_of(self.sock)
        self.told_at = {}
        serve(self.sock, self._connection)

    def set(self, endpoints):
        with self.changed:
            self.endpoints, self.index = endpoints, self.index + 1
            self.changed.notify_all()

    def _text(self):
        return self.form({"index": self.index, "snapshot": True, "endpoints": self.endpoints}) + "\n"

    def _connection(self, connection):
        reader = Reader(connection)
        request = reader.message()
        if request is None:
            return
        if "stream=1" not in request[0]:
            connection.sendall(response("200 OK", self._text(), "Content-Type: application/json\r\n"))
            return
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall(head.encode())
        sent = 0
        while True:
            with self.changed:
                if sent == self.index:
                    self.changed.wait(2.0)
                text = self._text() if sent != self.index else "\n"
                sent = self.index
            data = text.encode()
            connection.sendall(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            if text != "\n":
                self.told_at.setdefault(sent, time.monotonic())


class Platform:
    """The platform with a build that has long been released; it takes votes and answers them."""

    def __init__(self, state="build=1&stage=0&phase=Healthy&cap=1.0"):
        self.state = state
        self.sock = listener()
        self.address = address_of(self.sock)
        self.votes = []
        serve(self.sock, self._connection)

    def _connection(self, connection):
        reader = Reader(connection)
        while True:
            request = reader.message()
            if request is None:
                return
            if request[0].startswith("GET /stream"):
                head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                connection.sendall(head.encode())
                text = f"event: ROLLOUT\ndata: {self.state}&age_ms=60000\n\n"
                while True:
                    connection.sendall(f"{len(text):x}\r\n{text}\r\n".encode())
                    text = ":\n"
                    time.sleep(1.0)
            self.votes.append(request[2].decode())
            fields = dict(pair.split("=") for pair in self.state.split("&"))
            item = "".join(f"<{name}>{value}</{name}>" for name, value in fields.items())
            item += "<age_ms>60000</age_ms>"
            xml = f'<?xml version="1.0"?>\n<Response><entries><item>{item}</item></entries></Response>'
            connection.sendall(response("200 OK", xml, "Content-Type: text/xml\r\n"))


def endpoint(name, address, **more):
    entry = {"name": name, "address": address, "zone": "linz-1", "type": "standard-3", "group": 0,
             "status": "in_service", "weight": 1.0, "since_ms": 0, "release": 1}
    entry.update(more)
    return entry


def settings():
    """Settings like those of the deployment with three classes, with one sidecar in one zone."""

    def one(name, repeat, aim, deadline, worth):
        return {"name": name, "repeat": repeat, "group": "all", "window_ms": 5000.0, "aim_ms": aim,
                "deadline_ms": deadline, "late_worth": 0.0, "worth": worth, "streaming": False}

    return {
        "zone": "linz-1", "zones": ["wien-1", "linz-1", "graz-1"], "skus": ["standard-3"], "self_index": 0,
        "fleet_size": 1, "worth_by": "work", "membership_mode": "automatic", "weight_kind": "rough",
        "report": {"how": "piggyback", "columns": ["rif", "busy"]},
        "prices": {"cross_zone": 0.08},
        "classes": [one("scoreboard", "pure", 600.0, 2500.0, 1.0), one("round-pack", "pure", 1000.0, 3000.0, 3.0),
                    one("answer-sheet", "token", 600.0, 2500.0, 5.0)],
        "bounds": {"cancel": True, "connect_timeout_ms": 250.0, "idle_close_ms": 15000.0, "max_attempts": 3,
                   "max_retry_after_ms": 2000.0, "parallel_tries": False, "peers": True, "probing": False,
                   "retry_after": True},
        "family_info": {"ballot_ttl_ms": 6000.0, "caps": [0.051, 0.204, 0.68, 1.0], "counts": "all",
                        "flag_share": 0.15, "guarded_stages": 0, "least_stage_ms": 3000.0, "no_return": False,
                        "spare_tries": 1.0, "tally_every_ms": 0.0, "vote_mode": "any", "vote_wait_ms": 1200.0},
        "guarantees": {"answer_slack_ms": 20.0, "ask_every_ms": 10000.0, "cold_share": 0.34, "fall_ms": 3000.0,
                       "fall_multiple": 3.0, "ramp_time_ms": 4600.0, "stop_sending_within_ms": 2000.0},
    }


class Sidecar:
    """A sidecar, started as the deploy file says."""

    def __init__(self, folder, name, config, operators=None):
        self.config_path = os.path.join(folder, f"{name}.json")
        with open(self.config_path, "w") as file:
            json.dump(config, file)
        self.log_path = os.path.join(folder, f"{name}.log")
        own = os.path.join(folder, f"{name}.tmp")
        os.makedirs(own, exist_ok=True)
        host, port = config["listen"].split(":")
        self.at = (host, int(port))
        env = dict(os.environ, BALANCER_NAME=name, BALANCER_LISTEN=config["listen"], TMPDIR=own,
                   BALANCER_DISCOVERY=config["discovery"], BALANCER_CONFIG=self.config_path)
        env.pop("STAGEPOND_OPERATORS", None)
        if operators:
            env["STAGEPOND_OPERATORS"] = operators
        program = os.path.join(ROOT, "target/release/stagepond")
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{program} is not built")
        self.command = (env, name)
        self.start()

    def start(self):
        env, _ = self.command
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", RUN], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log, preexec_fn=end_with_parent)

    def wait_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"the sidecar ended with {self.process.returncode}: {self.log()[-600:]}")
            try:
                with socket.create_connection(self.at, 1.0) as sock:
                    sock.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    if sock.recv(64).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the sidecar is not ready")

    def log(self):
        with open(self.log_path) as file:
            return file.read()

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def base_config(discovery, platform, known, **limits):
    peer = free_port(socket.SOCK_DGRAM)
    return {
        "name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
        "peer_listen": f"127.0.0.1:{peer}", "peers": [f"127.0.0.1:{peer}"],
        "pipeline": {"address": platform, "news": {"build": 1, "stage": 0, "phase": "Healthy", "cap": 1.0,
                                                   "age_ms": 60000}},
        "known": {"index": 1, "snapshot": True, "endpoints": known}, "settings": settings(),
    }


def request(op, ident, limit_ms, path=None, key=None, body=b""):
    """The bytes of a client's request, as PROTOCOL.md has it."""
    method = "POST" if key else "GET"
    lines = [f"{method} {path or '/' + op} HTTP/1.1", "Host: service.internal", f"X-Request-ID: {ident}",
             f"X-Priority-Class: {op}", "X-Tenant-Id: wirtsring-ost", f"X-Timeout-Ms: {limit_ms}"]
    if key:
        lines += [f"Idempotency-Key: {key}", f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def main(folder, play):
    """Runs `play(folder of temporary files, record)`; it returns the breaks that it saw."""
    record = Record(folder)
    code = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            breaks = play(temporary, record)
            for text in breaks[:20]:
                record.say(f"BREAK {text}")
            record.say(f"trouble {'on' if TROUBLE else 'off'}: {len(breaks)} breaks of the rule")
            code = 1 if breaks else 0
    except CannotRun as error:
        record.say(f"the case could not run: {error}")
    except Exception as error:  # a fault of the script is no break of the rule
        import traceback
        record.say(f"the case could not run: {error!r}\n{traceback.format_exc()}")
    record.close()
    sys.stdout.flush()
    os._exit(code)
