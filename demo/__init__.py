"""Demonstration fleet on one machine."""
