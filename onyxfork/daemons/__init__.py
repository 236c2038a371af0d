"""The daemons: programs that run the library as an entry, an agent or a control instance."""
