"""The stand-in platform as one data centre reaches it, with faults of the path."""

import gevent
from attrs import define, field, frozen

from gentianhub.stand_ins.platform import PlatformStandIn, answer_hosts
from gentianhub.web import Request, Response


@frozen(kw_only=True)
class Reachable:
    """Requests reach the platform after `delay_s` seconds."""

    delay_s: float = 0.0


@frozen(kw_only=True)
class Unreachable:
    """Requests get no reply for `hang_s` seconds, then status 503."""

    hang_s: float = 2.0


@define(kw_only=True, eq=False)
class PlatformSite:
    """One data centre's path to the platform, with its view of the host list."""

    platform: PlatformStandIn
    hosts: dict
    path: Reachable | Unreachable = field(factory=Reachable)

    def handle(self, request: Request) -> Response:
        """Return the platform's response, as this data centre sees it."""
        match self.path:
            case Unreachable(hang_s=hang_s):
                gevent.sleep(hang_s)
                return Response(status=503)
            case Reachable(delay_s=delay_s):
                gevent.sleep(delay_s)
        if request.segments == ("hosts",):
            return answer_hosts(request, self.hosts)
        return self.platform.handle(request)
