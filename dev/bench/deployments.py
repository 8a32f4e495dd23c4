"""The two deployments of docs/design.md, section 1.3."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ServiceSpec:
    """A service: its kind (lookup or order) and number of backend servers."""
    name: str
    kind: str
    servers: int


@dataclass(frozen=True)
class Deployment:
    """Sizes and network delays of one region with its services.

    The delays are one way: zone_leg_us between two zones, caller_leg_us
    between a caller and an entry VM. Slots is the number of calls that one
    backend server runs at once, connections the number of connections that
    the whole fleet may open to it.
    """
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
        """Zone of the VM or backend server with this index, round robin."""
        return f"{self.region}-{index % self.zones + 1}"

    def zone_map(self):
        """Maps each zone to its region, as a ticket needs it."""
        return {self.zone(index): self.region for index in range(self.zones)}


# Mean service time of the fake backend servers.
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
