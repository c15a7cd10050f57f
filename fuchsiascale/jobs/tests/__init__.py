"""Tests of the job service."""
