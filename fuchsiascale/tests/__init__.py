"""Tests of the package beside this one."""
