"""Time constants used by several packages; suffixes give the units."""

LEASE_RENEW_INTERVAL_S = 0.2
LEASE_DURATION_S = 0.6
# Covers the difference in clock rate between holder and witness during a
# lease: 20 ms in 600 ms allows a rate error of 3%.
DRIFT_MARGIN_S = 0.02
# A target that does not check fencing tokens may finish work this long after
# the end of the lease under which it was sent, so the successor waits as long.
UNFENCED_HOLD_S = 0.25
# A node whose last log contact is older than this may have missed records.
LOG_STALE_AFTER_S = 2.0
# Only this many members plan. Each waits PLAN_RANK_DELAY_S longer than the one
# ranked before it.
PLAN_RANK_DELAY_S = 0.4
PLAN_RANKS = 5
SHARE_GRANT_VALID_S = 1.0
# A grant's validity is this much shorter at its holder, and this much longer
# at its allocator.
SHARE_GRANT_MARGIN_S = 0.05
SHARE_INTERVAL_S = 0.1
# A target's measured latency and load count as recent for this long.
LOAD_MAX_AGE_S = 2.0
# Longest wait for the next bytes of a body that is being transferred.
PROGRESS_TIMEOUT_S = 1.0
TCP_USER_TIMEOUT_MS = 2000
# A target counts as lost this long after its last announcement.
ANNOUNCE_TIMEOUT_S = 3.5
# New work is still accepted for this long after a zone or target is taken out
# of service.
ZONE_OUT_GRACE_S = 3.0
DEFAULT_DEADLINE_S = 2.0
IDEMPOTENCY_RETENTION_S = 600.0
# Largest accepted difference between a caller's wall clock and the node's.
MAX_CALLER_CLOCK_ERROR_S = 0.5
