"""Generated code of the protocol between nodes."""
