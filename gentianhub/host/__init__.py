"""One host of a deployment on the users' platform."""

from gentianhub.host.process import HostProcess

__all__ = ["HostProcess"]
