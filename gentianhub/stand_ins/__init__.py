"""Stand-ins of outside systems for development and tests."""

from gentianhub.stand_ins.platform import PlatformStandIn, serve_platform
from gentianhub.stand_ins.target import TargetStandIn, serve_target

__all__ = ["PlatformStandIn", "TargetStandIn", "serve_platform", "serve_target"]
