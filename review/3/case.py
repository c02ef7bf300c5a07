"""Keys of the timestamp change, the new timestamp does not come, and the old metadata end; see claim.txt."""

import os
import random
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standins import *  # noqa: E402,F403

LIFE_S, PACK, OLD = 15, "packs/round-7.tgz", b"round pack 7, as signed at first\n"


def ctl(record, *arguments):
    program = os.path.join(ROOT, "target/release/stagepondctl")
    if not os.access(program, os.X_OK):
        raise CannotRun(f"{program} is not built")
    done = subprocess.run([program, "tuf", *arguments], capture_output=True, text=True)
    record.write(f"stagepondctl tuf {' '.join(arguments[:1])}: {done.returncode} {done.stdout.strip()!r} {done.stderr.strip()!r}")
    if done.returncode != 0:
        raise CannotRun(f"stagepondctl: {done.stderr}")


def play(folder, record):
    repo = os.path.join(folder, "repo")
    ctl(record, "init", repo, "--keys", "3", "--threshold", "2")
    path = os.path.join(repo, "repository.json")
    with open(path) as file:
        described = json.load(file)
    described["terms"]["timestamp"] = LIFE_S
    with open(path, "w") as file:
        json.dump(described, file)
    pack = os.path.join(folder, "round-7.tgz")
    with open(pack, "wb") as file:
        file.write(OLD)
    ctl(record, "add", repo, pack, "--as", PACK)
    ctl(record, "publish", repo)
    published = time.time()
    metadata = os.path.join(repo, "metadata")

    def pod(name):
        def connection(sock):
            reader = Reader(sock)
            while True:
                message = reader.message()
                if message is None:
                    return
                target = message[0].split()[1]
                if target.startswith("/round-pack/metadata/"):
                    try:
                        with open(os.path.join(metadata, os.path.basename(target)), "rb") as file:
                            answer = response("200 OK", file.read())
                    except FileNotFoundError:
                        answer = response("404 Not Found", b"")
                elif target == "/round-pack/" + PACK:
                    answer = response("200 OK", OLD)
                else:
                    answer = response("404 Not Found", b"")
                record.write(f"{name} runs {message[1].get('x-request-id')} {target}: {answer[9:12].decode()}")
                sock.sendall(answer)
        return connection

    endpoints = []
    for number in range(3):
        sock = listener()
        serve(sock, pod(f"s-{number}"))
        endpoints.append(endpoint(f"s-{number}", address_of(sock)))
    with open(os.path.join(metadata, "1.root.json"), "rb") as file:
        root = file.read()
    with open(os.path.join(folder, "1.root.json"), "wb") as file:
        file.write(root)
    operators = os.path.join(folder, "operators.json5")
    with open(operators, "w") as file:
        json.dump({"tuf": {"operation": "round-pack", "targets": "/round-pack/", "metadata": "/round-pack/metadata/",
                           "root": "1.root.json", "state": "trusted", "refresh_ms": 2000}}, file)
    discovery, platform = Discovery(endpoints), Platform()
    sidecar = Sidecar(folder, "n0", base_config(discovery.address, platform.address, endpoints), operators)
    breaks, served, refused = [], 0, {}
    try:
        sidecar.wait_ready()
        rng = random.Random(5)

        def ask():
            nonlocal served
            ident = f"{rng.getrandbits(64):016x}"
            with socket.create_connection(sidecar.at, 4.0) as sock:
                sock.settimeout(5.0)
                asked = time.time()
                sock.sendall(request("round-pack", ident, 3000, path="/round-pack/" + PACK))
                message = Reader(sock).message()
            if message is None:
                raise CannotRun("no answer")
            status, check = message[0].split()[1], message[1].get("x-check-failed", "-")
            age = asked - published
            record.write(f"client {ident} asked {age:.2f} s after the publication: {status} check {check}")
            return status, check, age, ident

        rotated = False
        while time.time() < published + LIFE_S + 25:
            if TROUBLE and not rotated and time.time() > published + 6:
                ctl(record, "rotate", repo, "timestamp")
                rotated = True
            status, check, age, ident = ask()
            if status == "200":
                served += 1
                # One second, since times in the metadata are whole seconds, and one for a slow machine.
                if age > LIFE_S + 2:
                    breaks.append(f"{ident}: the pack was served {age - LIFE_S:.1f} s after its metadata had ended")
            else:
                refused[check] = refused.get(check, 0) + 1
            time.sleep(0.5)
        record.write("the sidecar's log:\n" + sidecar.log())
    finally:
        sidecar.stop()
    record.say(f"served {served}, refused by check {refused}")
    if served == 0:
        raise CannotRun("nothing was served before the end of the metadata")
    return breaks


main(HERE, play)
