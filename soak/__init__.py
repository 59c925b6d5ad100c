"""A soak of the job programs as real processes on loopback, with faults by a seed.

`plan` draws what happens when, `site` starts processes and carries faults out, `proxy`
harms connections, `callers` submit jobs and note the answers, `promises` judges what
callers and backend servers saw, `picture` shows it, and `run` puts a run together.
"""
