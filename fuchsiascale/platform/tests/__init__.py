"""Tests of `fuchsiascale.platform`."""
