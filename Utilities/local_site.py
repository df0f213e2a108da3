"""Runs a small site on the loopback address: the daemons, and simulations of
the external services, as processes.

Used by the demo, the measurements and the process tests.  A site stops every
process that it started.
"""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("CATKINLOOM_BIN", ROOT / "build" / "bin"))

DELTA_ZONES = ["tanta", "zagazig", "banha", "mansoura"]
HIMAL_ZONES = ["bagmati-1", "bagmati-2", "bagmati-3"]


class SiteConfig:
    """Sizes and settings of a site."""

    def __init__(self, service="faults", zones=None, groups=3, slots=3,
                 connections=20, connection_cost_ms=10, proxies=4,
                 service_us=2000, acknowledge="confirmed", callers=None,
                 daemon_extra=""):
        self.service = service
        self.zones = zones or DELTA_ZONES
        self.groups = groups
        self.slots = slots
        self.connections = connections
        self.connection_cost_ms = connection_cost_ms
        self.proxies = proxies
        self.service_us = service_us
        self.acknowledge = acknowledge
        self.callers = callers or (
            "  - {name: desk, weight: 4}\n"
            "  - {name: old-system, weight: 1, max_in_flight: 2}\n")
        self.daemon_extra = daemon_extra


def himal_config(**changes):
    sizes = dict(service="chhutti", zones=HIMAL_ZONES, slots=5,
                 connections=60, connection_cost_ms=30)
    sizes.update(changes)
    return SiteConfig(**sizes)


class Response:
    """An HTTP response; status 0 means that the connection failed."""

    def __init__(self, status, headers, body):
        self.status = status
        self.body = body
        self.outcome = headers.get("Catkinloom-Outcome", "unknown")
        self.session = headers.get("Catkinloom-Session")
        self.error = headers.get("Catkinloom-Error")
        self.upstream = headers.get("Catkinloom-Upstream")


def call(port, method, path, body="", headers=None, timeout=10.0):
    """Sends one HTTP request to a process of the site."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()),
                      response.read().decode())
    except (OSError, http.client.HTTPException):
        return Response(0, {}, "")
    finally:
        connection.close()


def port_offsets(config):
    """Ports of a site relative to its base port."""
    proxies = [kind + proxy for kind in (100, 200, 300)
               for proxy in range(config.proxies)]
    instances = [400 + group * 10 + instance
                 for group in range(config.groups) for instance in range(3)]
    return [0, *proxies, *instances]


def is_free(port):
    with socket.socket() as probe:
        # The processes set SO_REUSEADDR as well: a port with connections in
        # TIME_WAIT is usable.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def reserve_base_port(config):
    """Returns the first port of a range of 1,000 in which the site's ports are
    unused, and a socket that keeps other sites out of it until it is closed.

    The ranges are below the ephemeral ports, so that no outgoing connection
    takes a port of the site.
    """
    bases = [thousand * 1000 for thousand in range(11, 31)]
    random.shuffle(bases)
    for base in bases:
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", base + 999))
        except OSError:
            reservation.close()
            continue
        if all(is_free(base + offset) for offset in port_offsets(config)):
            return base, reservation
        reservation.close()
    raise RuntimeError("no free port range: all ranges of 1,000 ports from "
                       "11000 to 30999 are in use; stop other sites")


class Site:
    """A running site; a context manager that starts and stops it."""

    def __init__(self, config=None, base_port=None, log_level="decision"):
        self.config = config or SiteConfig()
        self.base, self.reservation = ((base_port, None) if base_port
                                       else reserve_base_port(self.config))
        self.log_level = log_level
        self.processes = {}
        self.folder = tempfile.TemporaryDirectory(prefix="catkinloom-")
        self.path = pathlib.Path(self.folder.name)
        self.frozen = set()

    # Addresses.

    @property
    def platform_port(self):
        return self.base

    def caller_port(self, proxy):
        return self.base + 100 + proxy

    def operator_port(self, proxy):
        return self.base + 200 + proxy

    def peer_port(self, proxy):
        return self.base + 300 + proxy

    def group_name(self, group):
        return f"{self.config.service}-{group + 1}"

    def instance_name(self, group, instance):
        return f"{self.group_name(group)}{'abcdefghi'[instance]}"

    def instance_port(self, name):
        group = int(name.rsplit("-", 1)[1][:-1]) - 1
        return self.base + 400 + group * 10 + "abcdefghi".index(name[-1])

    def instances(self, group):
        return [self.instance_name(group, i) for i in range(3)]

    # Files.

    def manifest_text(self, note=None):
        config = self.config
        lines = ["format: 1", "proxies:"]
        for proxy in range(config.proxies):
            zone = config.zones[proxy % len(config.zones)]
            lines.append(f"  - {{name: proxy-{proxy + 1}, zone: {zone}, "
                         f"peer: '127.0.0.1:{self.peer_port(proxy)}'}}")
        lines += ["callers:", config.callers.rstrip("\n"), "requests:",
                  "  - {name: log-fault, kind: write, repeatable: false}",
                  "  - {name: note, kind: write}",
                  "  - {name: read, kind: read}",
                  "  - {name: open-list, kind: read, max_age: 5s}"]
        if note:
            lines.append(f"  - {{name: {note}, kind: read}}")
        lines.append("groups:")
        for group in range(config.groups):
            lines += [f"  - name: {self.group_name(group)}",
                      f"    acknowledge: {config.acknowledge}",
                      "    instances:"]
            for i, name in enumerate(self.instances(group)):
                zone = config.zones[i % len(config.zones)]
                lines.append(
                    f"      - {{name: {name}, zone: {zone}, "
                    f"address: '127.0.0.1:{self.instance_port(name)}', "
                    f"slots: {config.slots}, "
                    f"connections: {config.connections}}}")
        return "\n".join(lines) + "\n"

    def write_manifest(self, note=None):
        file = self.path / "manifest.yaml"
        file.write_text(self.manifest_text(note))
        return file

    def write_settings(self, proxy):
        zone = self.config.zones[proxy % len(self.config.zones)]
        peers = ", ".join(f"'127.0.0.1:{self.peer_port(p)}'"
                          for p in range(self.config.proxies) if p != proxy)
        file = self.path / f"proxy-{proxy + 1}.yaml"
        file.write_text(
            f"name: proxy-{proxy + 1}\nzone: {zone}\nlisten:\n"
            f"  callers: 127.0.0.1:{self.caller_port(proxy)}\n"
            f"  operators: 127.0.0.1:{self.operator_port(proxy)}\n"
            f"  peers: 127.0.0.1:{self.peer_port(proxy)}\n"
            f"platform:\n  addresses: ['127.0.0.1:{self.platform_port}']\n"
            f"peers: [{peers}]\nlog: {{level: {self.log_level}}}\n"
            f"{self.config.daemon_extra}")
        return file

    # Processes.

    def start(self, name, *command):
        log = open(self.path / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(part) for part in command], stdout=log, stderr=log)
        log.close()

    def start_platform(self):
        self.start("platform", BIN / "catkinloom-fake-platform", "--listen",
                   f"127.0.0.1:{self.platform_port}")

    def start_instance(self, name):
        group = int(name.rsplit("-", 1)[1][:-1]) - 1
        peers = [f"--peer={peer}=127.0.0.1:{self.instance_port(peer)}"
                 for peer in self.instances(group)]
        self.start(name, BIN / "catkinloom-fake-upstream", "--name", name,
                   "--slots", self.config.slots, "--connections",
                   self.config.connections, "--connection-cost-ms",
                   self.config.connection_cost_ms, "--service-us",
                   self.config.service_us, "--journal",
                   self.path / f"{name}.journal", *peers)

    def start_proxy(self, proxy):
        self.start(f"proxy-{proxy + 1}", BIN / "catkinloomd", "--settings",
                   self.write_settings(proxy))

    def __enter__(self):
        try:
            self.start_platform()
            for group in range(self.config.groups):
                for name in self.instances(group):
                    self.start_instance(name)
            for proxy in range(self.config.proxies):
                self.start_proxy(proxy)
            self.wait_until(lambda: all(
                call(self.operator_port(p), "GET", "/status").status == 200
                for p in range(self.config.proxies)), "daemons listen")
            self.submit()
            self.wait_until(self.is_ready, "every group has a primary")
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *ignored):
        self.stop()

    def stop(self):
        for name in list(self.frozen):
            self.thaw(name)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self.reservation:
            self.reservation.close()
        self.folder.cleanup()

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def freeze(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)
        self.frozen.add(name)

    def thaw(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.frozen.discard(name)

    def terminate(self, name):
        self.processes[name].send_signal(signal.SIGTERM)

    def log(self, name):
        return (self.path / f"{name}.log").read_text()

    # Conditions, commands and requests.

    @staticmethod
    def wait_until(condition, what, timeout=30.0):
        """Waits for a condition.

        The time-out is not a bound under test; it only ends a wait that can't
        succeed.
        """
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.01)
        raise TimeoutError(f"not reached within {timeout} s: {what}")

    def tool(self, *words, proxy=0):
        return subprocess.run(
            [str(BIN / "catkinloom"), *[str(word) for word in words],
             "--daemon", f"127.0.0.1:{self.operator_port(proxy)}"],
            capture_output=True, text=True, check=False)

    def submit(self, note=None, proxy=0):
        done = self.tool("manifest", "submit", self.write_manifest(note),
                         proxy=proxy)
        if done.returncode != 0:
            raise RuntimeError(done.stderr)
        return done.stdout

    def groups(self, proxy=0):
        answer = call(self.operator_port(proxy), "GET", "/groups")
        return json.loads(answer.body) if answer.status == 200 else []

    def status(self, proxy=0):
        answer = call(self.operator_port(proxy), "GET", "/status")
        return json.loads(answer.body) if answer.status == 200 else {}

    def primary(self, group, proxy=0):
        for row in self.groups(proxy):
            if row["name"] == self.group_name(group):
                return row["primary"]
        return ""

    def is_ready(self):
        """True if each group has a primary and all instances are in its term."""
        for proxy in range(self.config.proxies):
            rows = self.groups(proxy)
            if len(rows) < self.config.groups and self.config.proxies <= 5:
                return False
            for row in rows:
                in_current_term = [i for i in row["instances"]
                                   if i["term"] == row["term"]
                                   and i["term"] > 0]
                if not row["primary"] or len(in_current_term) < 3:
                    return False
        return True

    def admin(self, name, **fields):
        port = (self.platform_port if name == "platform"
                else self.instance_port(name))
        return json.loads(
            call(port, "POST", "/admin", json.dumps(fields)).body)

    def log_entries(self, name):
        body = call(self.instance_port(name), "GET", "/admin/log").body
        return json.loads(body)["entries"]

    def request(self, proxy, group, name, statements, session=None, key=None,
                deadline_ms=None, caller=None):
        headers = {}
        if session:
            headers["Catkinloom-Session"] = session
        if key:
            headers["Idempotency-Key"] = key
        if deadline_ms:
            headers["Catkinloom-Deadline-Ms"] = str(deadline_ms)
        if caller:
            headers["Catkinloom-Caller"] = caller
        return call(self.caller_port(proxy), "POST",
                    f"/v1/{self.group_name(group)}/{name}",
                    json.dumps({"statements": statements}), headers,
                    timeout=30.0)

    def log_fault(self, proxy, group, key, **options):
        return self.request(proxy, group, "log-fault",
                            [put(f"fault/{key}", "stuck barrier arm")],
                            key=key, **options)


def put(key, value):
    return {"op": "put", "key": key, "value": value}


def get(key):
    return {"op": "get", "key": key}
