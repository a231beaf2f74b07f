"""Benchmarks and measurements, run by hand or in CI."""
