"""Adapter between the operators' platform and the router."""
