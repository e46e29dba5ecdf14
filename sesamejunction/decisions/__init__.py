"""Decision logic without I/O: functions of model classes and a given time."""
