"""Benchmarks and capacity calculations, run by hand or by the tests."""
