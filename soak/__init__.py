"""A soak test of the job programs, as real processes on loopback with seeded faults.

`plan` draws the schedule of faults and jobs, `site` starts processes and injects the
faults, `proxy` injects those of connections, `callers` submit jobs and record the
answers, `invariants` checks the observations of callers and backend servers, `picture`
charts them, and `run` executes a run.
"""
