"""Tests of the top-level modules and of whole-package properties."""
