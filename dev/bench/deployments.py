"""The deployments of docs/design.md, section 1.3."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ServiceSpec:
    """A service and its size."""
    name: str
    kind: str
    servers: int


@dataclass(frozen=True)
class Deployment:
    """Entry VMs, zones and services."""
    name: str
    region: str
    vms: int
    zones: int
    zone_leg_us: int
    caller_leg_us: int
    slots: int
    connections: int
    services: tuple

    def zone(self, index):
        """Zone of the VM or server with this index."""
        return f"{self.region}-{index % self.zones + 1}"

    def zone_map(self):
        """Region of each zone."""
        return {self.zone(index): self.region for index in range(self.zones)}


MEAN_MS = 10.0

KOVACS = Deployment("kovacs", "alfold", 14, 4, 1500, 3000, 2, 200, (
    ServiceSpec("tag-catalogue", "lookup", 8),
    ServiceSpec("order-intake", "order", 8),
    ServiceSpec("order-status", "lookup", 12)))

HIMALI = Deployment("himali", "kathmandu", 13, 3, 500, 1000, 3, 250, (
    ServiceSpec("map-catalogue", "lookup", 10),
    ServiceSpec("print-booking", "order", 6),
    ServiceSpec("proofs-archive", "lookup", 17)))

DEPLOYMENTS = {item.name: item for item in (KOVACS, HIMALI)}


def capacity(deployment, service):
    """Calls per second at which all slots of a service are busy."""
    return service.servers * deployment.slots * 1000.0 / MEAN_MS
