"""Actors: asyncio tasks that own sockets or state."""
