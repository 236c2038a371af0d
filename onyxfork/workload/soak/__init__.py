"""The fault soak: the platform's programs as real processes, with random faults from outside."""

from onyxfork.workload.soak.run import SoakVerdict, run_soak

__all__ = ["SoakVerdict", "run_soak"]
