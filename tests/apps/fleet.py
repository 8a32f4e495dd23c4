"""Starts the shipped programs and the fakes on loopback for end-to-end tests."""

import json
import os
import socket
import subprocess
import tempfile
import time
from http.client import HTTPConnection

BUILD = os.environ.get("BUILD_DIR", "build")
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_until(condition, what, timeout_s=START_TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f"timed out waiting until {what}")


def http(port, method, path, headers=None, body=None, timeout_s=10):
    """Sends one request on a connection of its own."""
    connection = HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


class Vm:
    """Ports, settings and process of one entry VM."""

    def __init__(self, number, zone):
        self.name = f"vm{number}"
        self.zone = zone
        self.callers, self.operators, self.peers = (free_port() for _ in range(3))
        self.process = None


class Fleet:
    """Entry VMs with one store and one process of backend servers."""

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
        return os.path.join(self.directory.name, name)

    def write(self, name, value):
        with open(self.path(name), "w", encoding="utf-8") as out:
            json.dump(value, out)
        return self.path(name)

    def spawn(self, name, *command):
        log = open(self.path(name + ".log"), "ab")
        self.logs.append(log)
        process = subprocess.Popen([os.path.join(BUILD, command[0]), *command[1:]],
                                   stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def log_text(self, name):
        with open(self.path(name + ".log"), encoding="utf-8") as log:
            return log.read()

    def start_store(self):
        self.store = self.spawn("store", "dev/fakes/fake_store", "--port",
                                str(self.store_port))
        wait_until(lambda: accepts(self.store_port), "the store accepts")

    def start_backends(self):
        settings = {"mean_ms": 2.0,
                    "servers": [{"id": s["id"], "service": "tags",
                                 "listen": s["address"], "slots": s["slots"]}
                                for s in self.servers]}
        self.spawn("backends", "dev/fake_backends/fake_backends",
                   self.write("backends.json", settings))
        wait_until(lambda: self.log_text("backends"), "backend servers accept")
        control = json.loads(self.log_text("backends").splitlines()[0])["control"]
        self.control_port = int(control.rsplit(":", 1)[1])

    def settings(self, vm):
        return {"vm": {"id": vm.name, "zone": vm.zone, "region": "alfold"},
                "callers": {"listen": f"127.0.0.1:{vm.callers}"},
                "operators": {"listen": f"127.0.0.1:{vm.operators}"},
                "peers": {"listen": f"127.0.0.1:{vm.peers}",
                          "seeds": [f"127.0.0.1:{other.peers}"
                                    for other in self.vms if other is not vm]},
                "store": {"endpoints": [f"127.0.0.1:{self.store_port}"]},
                "policy": self.policy, **self.overrides}

    def start_vm(self, vm):
        vm.process = self.spawn(vm.name, "apps/jujubecartd/jujubecartd", "--settings",
                                self.write(vm.name + ".json", self.settings(vm)))
        wait_until(lambda: accepts(vm.operators) or vm.process.poll() is not None,
                   f"{vm.name} accepts")
        if vm.process.poll() is not None:
            raise AssertionError(self.log_text(vm.name))

    def ticket(self, number, based_on=0, services=None):
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
        done = subprocess.run(
            [os.path.join(BUILD, "apps/jujubectl/jujubectl"), "--endpoint",
             f"127.0.0.1:{self.vms[vm].operators}", *arguments],
            capture_output=True, text=True, timeout=60, check=False)
        return done.returncode, done.stdout + done.stderr

    def ready(self, vm):
        return http(vm.operators, "GET", "/ready")[0] == 200

    def control(self, path, body=None):
        method = "GET" if body is None else "POST"
        answer = http(self.control_port, method, path,
                      body=None if body is None else json.dumps(body))
        return json.loads(answer[2] or b"null")


def accepts(port):
    try:
        socket.create_connection(("127.0.0.1", port), 1).close()
        return True
    except OSError:
        return False
