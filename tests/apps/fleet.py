"""Starts jujubecartd and the fakes on loopback for end-to-end tests."""

import json
import os
import random
import socket
import subprocess
import tempfile
import time
from http.client import HTTPConnection

BUILD = os.environ.get("BUILD_DIR", "build")
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30


# Linux uses 32768 to 60999 for outgoing connections.
PORT_RANGE = (12000, 31999)


def free_port():
    """A TCP port that was free a moment ago; another process may take it.

    It is below the ports that the kernel gives to outgoing connections, so
    that none of these takes it while a process is restarted.
    """
    while True:
        port = random.randint(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def wait_until(condition, what, timeout_s=START_TIMEOUT_S):
    """Polls a condition; fails the test after the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f"timed out waiting until {what}")


def http(port, method, path, headers=None, body=None, timeout_s=10):
    """Sends one request on a connection of its own.

    Returns status, headers and body.
    """
    connection = HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Vm:
    """Name, zone, ports and process of one entry VM."""

    def __init__(self, number, zone):
        self.name = f"vm{number}"
        self.zone = zone
        self.callers, self.operators, self.peers = (free_port() for _ in range(3))
        self.process = None


class Fleet:
    """Entry VMs with one fake store and one process of fake backend servers.

    Entering it with `with` starts all processes. The overrides replace
    top-level settings of every VM.
    """

    def __init__(self, vms=1, policy="dispatcher", servers=2, overrides=None,
                 with_store=True):
        self.directory = tempfile.TemporaryDirectory()
        self.logs = []
        self.processes = []
        self.policy = policy
        self.with_store = with_store
        self.overrides = overrides or {}
        self.store_port = free_port()
        self.control_port = 0
        self.servers = [{"id": f"b{i}", "address": f"127.0.0.1:{free_port()}",
                         "zone": "z1", "slots": 2} for i in range(servers)]
        self.vms = [Vm(i, "z1") for i in range(vms)]

    def __enter__(self):
        try:
            if self.with_store:
                self.start_store()
            self.start_backends()
            for vm in self.vms:
                self.start_vm(vm)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        for process in self.processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for log in self.logs:
            log.close()
        self.directory.cleanup()

    def path(self, name):
        """Path of a file in the temporary folder of this fleet."""
        return os.path.join(self.directory.name, name)

    def write(self, name, value):
        """Writes a JSON file; returns its path."""
        with open(self.path(name), "w", encoding="utf-8") as out:
            json.dump(value, out)
        return self.path(name)

    def spawn(self, name, *command, stdout=None):
        """Starts a built program; all its output is appended to NAME.log,
        unless standard output is given another file."""
        log = open(self.path(name + ".log"), "ab")
        self.logs.append(log)
        process = subprocess.Popen([os.path.join(BUILD, command[0]), *command[1:]],
                                   stdout=log if stdout is None else stdout,
                                   stderr=log)
        self.processes.append(process)
        return process

    def log_text(self, name):
        """All output of a process so far."""
        with open(self.path(name + ".log"), encoding="utf-8") as log:
            return log.read()

    def start_store(self):
        """Starts the fake store and waits until it accepts connections."""
        self.store = self.spawn("store", "dev/fakes/fake_store", "--port",
                                str(self.store_port))
        wait_until(lambda: accepts(self.store_port), "the store accepts connections")

    def start_backends(self):
        """Starts the fake backend servers and waits for their first line."""
        settings = {"mean_ms": 2.0,
                    "servers": [{"id": s["id"], "service": "tags",
                                 "listen": s["address"], "slots": s["slots"]}
                                for s in self.servers]}
        self.spawn("backends", "dev/fake_backends/fake_backends",
                   self.write("backends.json", settings))
        wait_until(lambda: self.log_text("backends"),
                   "the backend servers have printed their addresses")
        control = json.loads(self.log_text("backends").splitlines()[0])["control"]
        self.control_port = int(control.rsplit(":", 1)[1])

    def settings(self, vm):
        """Settings of one jujubecartd."""
        return {"vm": {"id": vm.name, "zone": vm.zone, "region": "alfold"},
                "callers": {"listen": f"127.0.0.1:{vm.callers}"},
                "operators": {"listen": f"127.0.0.1:{vm.operators}"},
                "peers": {"listen": f"127.0.0.1:{vm.peers}",
                          "seeds": [f"127.0.0.1:{other.peers}"
                                    for other in self.vms if other is not vm]},
                "store": {"endpoints": [f"127.0.0.1:{self.store_port}"]},
                "policy": self.policy, **self.overrides}

    def start_vm(self, vm, stdout=None):
        """Starts jujubecartd of a VM and waits until it accepts connections of
        operators and of callers, which it opens one after the other."""
        vm.process = self.spawn(vm.name, "apps/jujubecartd/jujubecartd", "--settings",
                                self.write(vm.name + ".json", self.settings(vm)),
                                stdout=stdout)
        wait_until(lambda: (accepts(vm.operators) and accepts(vm.callers)) or
                   vm.process.poll() is not None, f"{vm.name} accepts connections")
        if vm.process.poll() is not None:
            raise AssertionError(self.log_text(vm.name))

    def ticket(self, number, based_on=0, services=None):
        """Writes a ticket file; by default for the services tags and orders."""
        if services is None:
            zones = {"z1": "alfold"}
            services = {
                "tags": {"kind": "lookup", "rules": [{"path_prefix": "/tags"}],
                         "servers": self.servers, "zones": zones},
                "orders": {"kind": "order", "rules": [{"path_prefix": "/orders"}],
                           "servers": self.servers, "zones": zones}}
        return self.write(f"ticket{number}.json", {
            "number": number, "based_on": based_on, "services": services})

    def ctl(self, *arguments, vm=0):
        """Runs jujubectl and returns its exit code and output."""
        process = subprocess.run(
            [os.path.join(BUILD, "apps/jujubectl/jujubectl"), "--endpoint",
             f"127.0.0.1:{self.vms[vm].operators}", *arguments],
            capture_output=True, text=True, timeout=60, check=False)
        return process.returncode, process.stdout + process.stderr

    def ready(self, vm):
        """Whether `/ready` of a VM answers 200."""
        return http(vm.operators, "GET", "/ready")[0] == 200

    def control(self, path, body=None):
        """Sends a request to the control port of the fake backend servers."""
        method = "GET" if body is None else "POST"
        answer = http(self.control_port, method, path,
                      body=None if body is None else json.dumps(body))
        return json.loads(answer[2] or b"null")


def accepts(port):
    """Whether a port on loopback accepts connections."""
    try:
        socket.create_connection(("127.0.0.1", port), 1).close()
        return True
    except OSError:
        return False
