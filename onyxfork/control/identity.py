"""Who a replica with a new data folder is."""

from onyxfork.control.raft_messages import Members

__all__ = ["initial_identity"]


def initial_identity(settings, bootstrap):
    """Return identity and members of a replica whose data folder is new.

    A bootstrapping replica is one of the first members; any other new folder makes a replica that
    has to join, because it must not vote before it has learned what was agreed.
    """
    if not bootstrap:
        return None, Members()
    voters = {f"{name}#0": str(address) for name, address in settings.members.items()}
    return f"{settings.node}#0", Members(voters)
