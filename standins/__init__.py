"""Stand-ins for platform services, used by the demo and the tests only."""
