"""The time bounds that owners of cells share.

They are constants rather than settings, because an owner relies on the bounds
that the owner before it kept.
"""

RENEW_S = 5.0
TAKEOVER_S = 15.0
WATCH_EVERY_S = 3.0
START_WINDOW_S = 2.0
TASK_LEASE_S = 30.0
RENEW_TASKS_S = 8.0
DRIFT_MARGIN_S = 5.0
AUTONOMY_S = 3600.0

CALL_WITHIN_S = 2.0
REPORT_EVERY_S = 1.0
REPORT_S_PER_RUN = 0.1
LONGEST_REPORT_S = 3.0
SILENT_AFTER_S = 10.0
STOP_RETRY_S = 2.0

REFETCH_S = 10.0
FETCH_WITHIN_S = 5.0
OUTCOME_WITHIN_S = 15.0
RESUBMIT_AFTER_S = 0.5

RETURN_AFTER_S = 30.0
SUMMARY_EVERY_S = 1.0
SUMMARY_KEEPALIVE_S = 5.0
RELEASE_WITHIN_S = 10.0
