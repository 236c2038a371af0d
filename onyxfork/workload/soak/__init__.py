"""Soak test: the platform's programs run as processes while random faults are injected."""

from onyxfork.workload.soak.run import SoakVerdict, run_soak

__all__ = ["SoakVerdict", "run_soak"]
