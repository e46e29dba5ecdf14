"""Validated input, codecs and protocol adapters."""
