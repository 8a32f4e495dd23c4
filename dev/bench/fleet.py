"""Entry VMs, fakes and relay as processes on loopback."""

import json
import socket
import time
import urllib.error
import urllib.request

from .deployments import MEAN_MS
from .processes import Processes, StartError

# Every VM has an address of its own, so all use the same ports.
CALLER_PORT, OPERATOR_PORT, PEER_PORT, LOCK_PORT = 8080, 8081, 8082, 8079


def request(url, body=None, timeout=5.0):
    """Sends a POST with a JSON body, or a GET; returns status and text."""
    data = None if body is None else json.dumps(body).encode()
    try:
        with urllib.request.urlopen(urllib.request.Request(
                url, data=data, headers={"Content-Type": "application/json"}),
                timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def reserve_network():
    """Reserves a loopback network 127.n.0.0/16 for one run.

    Runs at the same time then use different addresses. Returns n and a socket
    that holds the reservation until it is closed.
    """
    for number in range(16, 240):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.0.1", LOCK_PORT))
            lock.listen(1)
            return number, lock
        except OSError:
            lock.close()
    raise StartError("no free loopback network in 127.16 to 127.239")


class Fleet:
    """All processes of one deployment; started by `with`."""

    def __init__(self, build, folder, deployment, policy="dispatcher",
                 vms=None, relay=True, services=None, workers=1):
        self.deployment = deployment
        self.policy = policy
        self.relay = relay
        self.workers = workers
        self.processes = Processes(build, folder)
        self.services = services or deployment.services
        self.network, self.lock = reserve_network()
        self.vms = [f"vm-{index + 1}"
                    for index in range(vms or deployment.vms)]
        self.backends = {}
        self.legs = {}
        self.tickets = 0
        self.revision = 0
        self.configured = True

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        """Ends every process and releases the loopback network."""
        self.processes.close()
        self.lock.close()

    def zone(self, vm):
        """Availability zone of a VM."""
        return self.deployment.zone(self.vms.index(vm))

    def ip(self, vm):
        """Loopback address of a VM: 127.network.zone.number in zone."""
        index = self.vms.index(vm)
        return (f"127.{self.network}.{index % self.deployment.zones + 1}."
                f"{index // self.deployment.zones + 1}")

    def operators(self, vm):
        """Address and port of a VM's operators' endpoint."""
        return f"{self.ip(vm)}:{OPERATOR_PORT}"

    def without_configuration(self):
        """Makes start() submit no ticket; returns this fleet."""
        self.configured = False
        return self

    def start(self):
        """Starts all processes, puts the services in force, waits for readiness."""
        self.start_backends()
        self.start_fakes()
        if self.relay:
            self.start_relay()
        for vm in self.vms:
            self.start_vm(vm)
        self.wait_answering(self.vms)
        if not self.configured:
            return
        self.submit({spec.name: self.service(spec) for spec in self.services})
        self.wait_revision(self.revision)
        self.wait_ready(self.vms)

    def server_ids(self, spec):
        """Ids of the backend servers of a service."""
        return [f"{spec.name}-{index + 1}" for index in range(spec.servers)]

    def start_backends(self):
        """Starts one process that runs all fake backend servers."""
        servers = [{"id": server, "service": spec.name,
                    "slots": self.deployment.slots}
                   for spec in self.services
                   for server in self.server_ids(spec)]
        path = self.processes.file("backends.json", {
            "servers": servers, "mean_ms": MEAN_MS})
        self.processes.start("backends", "fake_backends", path)
        self.backends = json.loads(self.processes.first_line("backends"))

    def start_fakes(self):
        """Starts the fake store and, if it is built, the fake platform."""
        self.processes.start("store", "fake_store", "--port", "0")
        port = int(self.processes.first_line("store"))
        self.store = f"127.0.0.1:{port}"
        self.platform = None
        if not self.processes.exists("fake_platform"):
            return
        self.processes.start("platform", "fake_platform", "--port", "0")
        port = int(self.processes.first_line("platform"))
        self.platform = f"127.0.0.1:{port}"

    def start_relay(self):
        """Starts the relay that delays traffic from callers and between zones.

        A leg is one listener of the relay and the target it forwards to.
        """
        legs = [{"id": f"caller/{vm}",
                 "target": f"{self.ip(vm)}:{CALLER_PORT}",
                 "delay_us": self.deployment.caller_leg_us} for vm in self.vms]
        legs += [{"id": f"peer/{vm}", "target": f"{self.ip(vm)}:{PEER_PORT}",
                  "zone": self.zone(vm)} for vm in self.vms]
        legs += [{"id": f"server/{server}", "zone": self.server_zone(server),
                  "target": self.backends["servers"][server]}
                 for spec in self.services for server in self.server_ids(spec)]
        path = self.processes.file("relay.json", {
            "zone_us": self.deployment.zone_leg_us, "legs": legs,
            "sources": {self.ip(vm): self.zone(vm) for vm in self.vms}})
        self.processes.start("relay", "zone_relay", path)
        self.legs = json.loads(self.processes.first_line("relay"))

    def server_zone(self, server):
        """Availability zone of a backend server."""
        return self.deployment.zone(int(server.rsplit("-", 1)[1]) - 1)

    def leg(self, name, direct):
        """Address of a leg at the relay, or direct if there is no relay."""
        return self.legs["legs"][name] if self.relay else direct

    def settings(self, vm):
        """Settings of a VM's jujubecartd; the first three VMs are seeds."""
        peers = {"listen": f"{self.ip(vm)}:{PEER_PORT}",
                 "seeds": [self.leg(f"peer/{other}",
                                    f"{self.ip(other)}:{PEER_PORT}")
                           for other in self.vms[:3] if other != vm]}
        if self.relay:
            peers["advertise"] = self.leg(f"peer/{vm}", "")
        platform = {"platform": {"endpoint": self.platform}} \
            if self.platform else {}
        return {**platform,
                "vm": {"id": vm, "zone": self.zone(vm),
                       "region": self.deployment.region,
                       "address": self.ip(vm)},
                "callers": {"listen": f"{self.ip(vm)}:{CALLER_PORT}"},
                "operators": {"listen": self.operators(vm)},
                "peers": peers,
                "store": {"endpoints": [self.store]},
                "policy": self.policy, "workers": self.workers,
                "log": {"level": "info"}}

    def start_vm(self, vm):
        """Starts jujubecartd of one VM."""
        path = self.processes.file(f"{vm}.json", self.settings(vm))
        self.processes.start(vm, "jujubecartd", "--settings", path)

    def service(self, spec, **changes):
        """Configuration of a service for a ticket; changes replace fields."""
        servers = [{"id": server, "zone": self.server_zone(server),
                    "address": self.leg(f"server/{server}",
                                        self.backends["servers"][server]),
                    "slots": self.deployment.slots,
                    "connections": self.deployment.connections,
                    "state": "active"} for server in self.server_ids(spec)]
        return {"kind": spec.kind, "servers": servers,
                "rules": [{"host": f"{spec.name}.test", "path_prefix": "/"}],
                "zones": self.deployment.zone_map(),
                "default_deadline_ms": 2000, "measure_per_s": 10,
                "profile": "cost" if self.deployment.name == "himali"
                else "tail", **changes}

    def submit(self, services, vm=None):
        """Submits a ticket; raises StartError unless it is accepted."""
        self.tickets += 1
        url = f"http://{self.operators(vm or self.vms[0])}/tickets"
        ticket = {"number": self.tickets, "based_on": self.revision,
                  "services": services}
        status, text = request(url, ticket, 10.0)
        decision = json.loads(text) if text.startswith("{") else {}
        if decision.get("state") != "accepted":
            raise StartError(f"ticket {self.tickets}: {status} {text[:300]}")
        self.revision = decision["revision"]
        return decision

    def status(self, vm, timeout=2.0):
        """Parsed `/status` of a VM, or None if it does not answer."""
        try:
            code, text = request(f"http://{self.operators(vm)}/status",
                                 timeout=timeout)
            return json.loads(text) if code == 200 else None
        except (OSError, ValueError):
            return None

    def ready(self, vm):
        """Whether `/ready` of a VM answers 200."""
        try:
            return request(f"http://{self.operators(vm)}/ready",
                           timeout=2.0)[0] == 200
        except OSError:
            return False

    def wait(self, vms, condition, what, timeout=20.0):
        """Waits until a condition holds for every VM.

        Raises StartError if a VM ended or the timeout has passed.
        """
        end = time.monotonic() + timeout
        missing = list(vms)
        while missing:
            for vm in missing:
                if vm not in self.processes.running or \
                        self.processes.running[vm].poll() is not None:
                    raise StartError(
                        f"{vm} exited: {self.processes.log(vm)[-500:]}")
            missing = [vm for vm in missing if not condition(vm)]
            if missing and time.monotonic() > end:
                raise StartError(f"{what}: not reached within {timeout} s by "
                                 f"{', '.join(missing[:5])}")
            if missing:
                time.sleep(0.05)

    def wait_answering(self, vms):
        """Waits until the operators' endpoints answer."""
        self.wait(vms, lambda vm: self.status(vm) is not None, "status")

    def wait_revision(self, revision, vms=None):
        """Waits until a revision, or a later one, is in force."""
        self.wait(vms or self.vms, lambda vm: (self.status(vm) or {}).get(
            "revision", 0) >= revision, f"revision {revision}")

    def wait_ready(self, vms):
        """Waits until VMs are ready."""
        self.wait(vms, self.ready, "readiness")

    def fault(self, at_ms, server, kind, **parameters):
        """Entry of an experiment file: a fault of a fake backend server."""
        return {"at_ms": at_ms, "address": self.backends["control"],
                "path": "/fault",
                "body": {"server": server, "kind": kind, **parameters}}

    def cut(self, at_ms, leg, state, source="*"):
        """Entry of an experiment file: a new state of a leg of the relay."""
        return {"at_ms": at_ms, "address": self.legs["control"], "path": "/",
                "body": {"leg": leg, "state": state, "source": source}}

    def signal(self, at_ms, vm, name):
        """Entry of an experiment file: a signal to the daemon of a VM."""
        return {"at_ms": at_ms, "pid": self.processes.pid(vm), "signal": name}

    def experiment(self, name, seed, length_ms, rates, faults=(), shape=(),
                   segments=(), warmup_ms=1000, deadline_ms=2000):
        """Writes an experiment file; rates are calls/s by service name.

        Requests of the first warmup_ms are sent and checked, but not timed.
        The load generator reads the file; see dev/common/experiment.hpp.
        """
        services = [{"name": spec.name, "host": f"{spec.name}.test",
                     "kind": spec.kind, "rate": rates[spec.name],
                     "deadline_ms": deadline_ms,
                     "slot_zones": [self.server_zone(server)
                                    for server in self.server_ids(spec)
                                    for _ in range(self.deployment.slots)]}
                    for spec in self.services if rates.get(spec.name)]
        entries = [{"id": vm, "zone": self.zone(vm),
                    "ready": self.operators(vm),
                    "address": self.leg(f"caller/{vm}",
                                        f"{self.ip(vm)}:{CALLER_PORT}")}
                   for vm in self.vms]
        legs = self.deployment if self.relay else None
        return self.processes.file(f"{name}.json", {
            "seed": seed, "length_ms": length_ms, "warmup_ms": warmup_ms,
            "entries": entries, "services": services, "shape": list(shape),
            "faults": list(faults), "segments": list(segments),
            "mean_ms": MEAN_MS,
            "caller_leg_us": legs.caller_leg_us if legs else 0,
            "zone_leg_us": legs.zone_leg_us if legs else 0,
            "backends": self.backends["control"]})

    def load(self, path, timeout=120.0):
        """Runs an experiment; result["ideal"] is its replay by the ideal.

        The ideal is one central queue per service.
        """
        result = self.processes.run("load", "load", path, timeout=timeout)
        result["ideal"] = self.processes.run("ideal", "ideal", path)
        return result

    def open_connections(self, vm, count):
        """Opens idle connections to the callers' endpoint of a VM."""
        return [socket.create_connection((self.ip(vm), CALLER_PORT), 5.0)
                for _ in range(count)]

    def backend_stats(self):
        """Counters of each fake backend server, by its id."""
        return json.loads(request(
            f"http://{self.backends['control']}/stats")[1])
