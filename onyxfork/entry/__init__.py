"""The entry: HTTP interface of callers, routing to the owner of a cell, ownership of cells."""
