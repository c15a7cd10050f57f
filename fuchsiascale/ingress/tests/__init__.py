"""Tests of the limits for callers."""
