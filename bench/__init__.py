"""Benchmarks and the demo, run by hand or by make."""
