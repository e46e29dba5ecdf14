"""Data classes shared by all packages; most are messages between tasks."""
