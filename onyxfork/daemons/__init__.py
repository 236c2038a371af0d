"""The daemons: thin programs over the library."""
