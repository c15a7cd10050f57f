"""Scheduler that colocates latency-critical and batch work."""

__version__ = "0.1.0"
