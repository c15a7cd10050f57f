"""Daemon of an instance on the users' platform."""

from fuchsiascale.node._main import *  # noqa: F403
