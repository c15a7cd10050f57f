"""Measures the system against its stated targets; run by ``make measure``."""
