"""Machines of the system: settings as the platform fills in the template of
the deploy file, and processes with its command."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {"revoke": "5000ms", "grace": "6s", "budget-ratio": 0.2,
          "budget-extra-tries": 56, "quota-window": "5s",
          "quota-excess": 0.1, "quota-slack": 20}


def deploy_command():
    """Command of the role that carries the traffic."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return deploy["roles"]["entry"]["run"].split()


def free_port(host):
    """A port below those that the system gives to outgoing connections, which
    could take one between this test and its use."""
    while True:
        port = random.randrange(10000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return port
            except OSError:
                pass


class Machine:
    """One machine with its process."""

    def __init__(self, folder, number, zone, store, zones, tenants=False):
        """Writes the settings; store is the address of the store for it."""
        self.store_host = store.rsplit(":", 1)[0]
        self.name = f"front-{zone}-{number}"
        self.ip = f"127.0.{10 + number}.1"
        self.front, self.ready, self.peers = (
            f"{self.ip}:{free_port(self.ip)}" for _ in range(3))
        self.settings = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        directory = {"zones": zones, "grace": BOUNDS["grace"]}
        if tenants:
            directory["revoke"] = BOUNDS["revoke"]
        settings = {
            "vm": {"id": self.name, "zone": zone, "region": zones[zone],
                   "address": self.ip, "processor_share": 0.5, "cores": 1},
            "callers": {"listen": self.front},
            "operators": {"listen": self.ready},
            "peers": {"listen": self.peers},
            "store": {"endpoints": [store]},
            "directory": directory,
            "retries": {"ratio": BOUNDS["budget-ratio"],
                        "fleet_burst": BOUNDS["budget-extra-tries"]},
            "workers": 1, "timeline_events": 0}
        if tenants:
            settings["quotas"] = {"window": BOUNDS["quota-window"],
                                  "excess": BOUNDS["quota-excess"],
                                  "slack": BOUNDS["quota-slack"]}
        self.settings.write_text(json.dumps(settings, indent=2))
        self.process = None

    def start(self):
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        environment["JUJUBECART_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy_command(), cwd=ROOT, env=environment, stdout=log,
                stderr=subprocess.STDOUT)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.kill()

    async def is_ready(self):
        host, port = self.ready.rsplit(":", 1)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 0.5)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10.0):
        loop = asyncio.get_running_loop()
        until = loop.time() + limit_s
        while loop.time() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.02)
        return False


def config(version, routes, services, tenants=None, limits=None):
    """Value of op/config."""
    value = {
        "version": version, "routes": routes, "services": services,
        "limits": limits or {"max-header-bytes": 16384,
                             "max-body-bytes": 67108864,
                             "header-timeout": "3000ms",
                             "idle-timeout": "15000ms"}}
    if tenants is not None:
        value["tenants"] = tenants
    return value


def route(host, prefix, service, kind="safe", timeout="2000ms", aim="500ms",
          attempts=2, priority=1):
    return {"host": host, "path-prefix": prefix, "kind": kind,
            "timeout": timeout, "target-latency": aim, "priority": priority,
            "service": service, "max-attempts": attempts, "public": False}


def service():
    return {"health-path": "/health", "max-conns": 1220, "protocol": "h1",
            "tls": False}
