"""The entry: callers' HTTP, routing to the owner of a cell, and ownership of cells."""
