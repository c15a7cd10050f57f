"""Measurements against the stated targets; run by ``make measure``."""
