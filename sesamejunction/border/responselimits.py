"""Bounds on what a target or peer may send to one request over HTTP."""

# Bytes that belong to no body: heads, interim answers, chunk lines and
# trailers. A head takes 1 or 2 KB; the body's size is added, so that small
# chunks are not refused.
MAX_FRAMING_BYTES = 1 << 15
# Each line costs a call of the parser; the platform's answers have about ten.
MAX_HEADER_LINES = 128
# Interim answers (1xx) to one request; one or two are usual.
MAX_INTERIM_ANSWERS = 8
