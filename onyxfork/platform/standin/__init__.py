"""The platform's side of the adapter, for tests and the fault soak: workers, callers, operators.

Nothing that serves users imports this package.
"""
