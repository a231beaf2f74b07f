"""The platform's load balancer: which host gets a client's new connection."""

import asyncio

from attrs import define, field

from review.deployment import Deployment, Host

PROBE_INTERVAL_S = 1.0
MISSES_UNTIL_OUT = 2


@define(kw_only=True, eq=False)
class Balancer:
    """Probes each host once a second; a host is out after two misses."""

    deployment: Deployment
    _misses: dict[str, int] = field(init=False, factory=dict)

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            for host in self.deployment.hosts:
                is_ready = await host.is_ready()
                misses = 0 if is_ready else self._misses.get(host.name, 0) + 1
                if misses == MISSES_UNTIL_OUT:
                    self.deployment.note("out of rotation", host=host.name)
                self._misses[host.name] = misses
            await asyncio.sleep(PROBE_INTERVAL_S)

    def is_in(self, host: Host) -> bool:
        """Whether a host gets new connections."""
        return self._misses.get(host.name, 0) < MISSES_UNTIL_OUT

    def choose(self, preferred: Host) -> Host:
        """Return the client's host, or another one of its zone if that is out."""
        local = [h for h in self.deployment.hosts if h.zone == preferred.zone]
        in_rotation = [host for host in local if self.is_in(host)] or local
        return preferred if preferred in in_rotation else in_rotation[0]
