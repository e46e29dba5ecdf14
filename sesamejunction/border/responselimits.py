"""Limits on one HTTP answer from a target or a peer."""

# Bytes outside of the body: heads, interim answers, chunk headers and
# trailers. A head takes 1 or 2 KB. The size of the body is added to this
# limit, so that an answer in small chunks is not refused.
MAX_FRAMING_BYTES = 1 << 15
# Lines in one head or trailer. The parser makes a callback for each line;
# answers of the platform have about ten lines.
MAX_HEADER_LINES = 128
# Statuses that an answer may have (RFC 9110, section 15). The parsers take any
# three digits.
STATUSES = range(100, 600)
# Interim answers (1xx) to one request; one or two are usual.
MAX_INTERIM_ANSWERS = 8
