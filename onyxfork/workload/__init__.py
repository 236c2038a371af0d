"""Stand-in deployments, load, experiments and reports."""
