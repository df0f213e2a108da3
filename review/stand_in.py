"""Stand-in for scripts under review/: the fleet of StandIns/, with instances
that frame messages as the wire protocol says (a line ends with CR LF), and
that record the id and the text of each read and write that they run."""

import asyncio
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "StandIns"))
import fleet_stand_in  # noqa: E402

PROGRAM = ROOT / "target" / "bin" / "catkinloom-sessiond"


class Instance(fleet_stand_in.Instance):
    """An instance whose messages end with CR LF, and only there."""

    def __init__(self, fleet, ident, zone):
        super().__init__(fleet, ident, zone)
        #: (id, text) of each read and write that ran, in order.
        self.runs = []

    async def serve(self, reader, writer):
        self.writers.add(writer)
        state = {"open": False, "tx": None, "values": {}, "prepared": {}}
        try:
            while True:
                raw = await reader.readuntil(b"\r\n")
                line = raw[:-2].decode("latin-1")
                words = line.split(" ", 2)
                if words[0] == "QUERY" and \
                        words[2].split(" ")[0] in ("READ", "WRITE"):
                    self.runs.append((words[1], words[2]))
                writer.write((await self.answer(line, state)).encode(
                    "latin-1"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


fleet_stand_in.Instance = Instance
Fleet = fleet_stand_in.Fleet


def free_port():
    """Returns a free port below the range of ephemeral ports."""
    while True:
        port = random.randint(15000, 31999)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Proxy:
    """A session proxy, started by the command of the deploy file with settings
    as its template gives them."""

    def __init__(self, name, zone, store, folder):
        self.callers, ready, metrics = (free_port() for _ in range(3))
        self.ready_url = f"http://127.0.0.1:{ready}/ready"
        self.settings = pathlib.Path(folder) / f"{name}.yaml"
        self.settings.write_text(
            f"name: {name}\nzone: {zone}\nlisten:\n"
            f"  callers: 127.0.0.1:{self.callers}\n"
            f"  ready: 127.0.0.1:{ready}\n"
            f"  metrics: 127.0.0.1:{metrics}\n"
            f"store:\n  address: {store}\n"
            f"promotions:\n  address: {store}\n  fenced: true\n"
            "bounds:\n  grace: 6s\n  change_in_force: 3000ms\n")
        self.log = self.settings.with_suffix(".log")
        self.process = None

    def start(self):
        with self.log.open("a") as output:
            self.process = subprocess.Popen(
                [PROGRAM], stdout=output, stderr=subprocess.STDOUT,
                env={**os.environ, "CATKINLOOM_CONFIG": str(self.settings)})

    def is_ready(self):
        try:
            with urllib.request.urlopen(self.ready_url, timeout=1) as answer:
                return answer.status == 200
        except (urllib.error.URLError, OSError):
            return False

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(5)


def wait_until(condition, timeout_s):
    """Returns whether the condition was met in time."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False
