"""Tells an orderly end of a TCP stream from a reset."""

import socket

# First byte of TCP_INFO after the peer has sent its FIN and nothing else.
CLOSE_WAIT = 8


def is_orderly(transport) -> bool:
    """Return whether a stream that has ended was closed by a FIN.

    After a reset, the first call on the socket gets the error, and this may
    have been a write. The next read then returns an end of stream. The state
    of the connection does not depend on who got the error. A reset that
    follows a FIN counts as one, since what it cut is not known.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return True
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return info[0] == CLOSE_WAIT
