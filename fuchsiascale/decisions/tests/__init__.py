"""Tests of the parent package."""
