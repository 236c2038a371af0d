"""Runs the command line as ``python -m onyxfork``."""

from onyxfork.main import main

main()
