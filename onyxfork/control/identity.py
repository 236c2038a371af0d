"""Identity and members of a replica with a new data folder."""

from onyxfork.control.raft_messages import Members

__all__ = ["initial_identity"]


def initial_identity(settings, bootstrap):
    """Return the identity and the initial members of a replica with a new data folder.

    With `bootstrap` set, the replica is one of the first voters. Any other replica with a new
    folder gets a random identity and joins without a vote, because it must not vote before it has
    received the committed entries.
    """
    if not bootstrap:
        return None, Members()
    voters = {f"{name}#0": str(address) for name, address in settings.members.items()}
    return f"{settings.node}#0", Members(voters)
