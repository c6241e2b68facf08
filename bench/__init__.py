"""Benchmarks and the demo, started by hand or by ``make``."""
