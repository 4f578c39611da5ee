"""The persistent state of a manager, kept on disk across restarts."""
