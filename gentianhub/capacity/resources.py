"""Vectors of processor time, memory and accelerators."""

from gentianhub.core.records import frozen


@frozen(kw_only=True)
class Resources:
    """The resources that a task requests or that a target has.

    `cpu_millicores` is in thousandths of a core, `memory_mb` in megabytes,
    `accelerators` a count.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            cpu_millicores=self.cpu_millicores + other.cpu_millicores,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            cpu_millicores=self.cpu_millicores - other.cpu_millicores,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def compute_minimum(self, other: "Resources") -> "Resources":
        """Return the smaller amount of each resource."""
        return Resources(
            cpu_millicores=min(self.cpu_millicores, other.cpu_millicores),
            memory_mb=min(self.memory_mb, other.memory_mb),
            accelerators=min(self.accelerators, other.accelerators),
        )

    def fits_in(self, available: "Resources") -> bool:
        """Whether each resource is within the `available` amount."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )
