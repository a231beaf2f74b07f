"""Proxies from each data centre to the stand-in platform, with injected faults."""

import gevent

from gentianhub.core.records import define, field, frozen
from gentianhub.stand_ins.platform import PlatformStandIn, answer_hosts
from gentianhub.web import Request, Response


@frozen(kw_only=True)
class Reachable:
    """Requests are forwarded to the platform after `delay_s` seconds."""

    delay_s: float = 0.0


@frozen(kw_only=True)
class Unreachable:
    """Requests are answered with status 503 after `hang_s` seconds."""

    hang_s: float = 2.0


@define(kw_only=True, eq=False)
class PlatformProxy:
    """Forwards requests of one data centre, which has its own host list."""

    platform: PlatformStandIn
    hosts: dict
    path: Reachable | Unreachable = field(factory=Reachable)

    def handle(self, request: Request) -> Response:
        """Return the response for this data centre."""
        match self.path:
            case Unreachable(hang_s=hang_s):
                gevent.sleep(hang_s)
                return Response(status=503)
            case Reachable(delay_s=delay_s):
                gevent.sleep(delay_s)
        if request.segments == ("hosts",):
            return answer_hosts(request, self.hosts)
        return self.platform.handle(request)
