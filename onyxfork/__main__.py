"""Entry point of ``python -m onyxfork``: the command line."""

from onyxfork.main import main

main()
