"""Orders the jobs of a shard for starting."""

__all__ = [
    "can_meet_objective",
    "compute_objective_s",
    "estimate_slack_s",
    "order_jobs",
]

ESTIMATE_MAX_AGE_S = 0.5
"""Time after which a job's estimates follow the run times observed since."""
LATE_FACTOR = 3.0
"""Multiple of its objective after which a finished job is worth nothing."""


def order_jobs(shard, now_s):
    """Return the unfinished jobs in the order in which to start them."""
    jobs = [job for job in shard.jobs.values() if not job.state.final]
    return sorted(jobs, key=lambda job: _rank_job(job, now_s, shard.run_times))


def _rank_job(job, now_s, run_times):
    """Return the sort key of a job; lower keys start first.

    Jobs of the highest priority that can still meet their objective come first, then
    long-running jobs: a core-second of the former is worth about four of the latter.
    Within a priority, jobs are sorted by slack; those that can only finish late follow,
    and jobs that would finish too late to be worth anything come last of all.
    """
    if job.lasting:
        return (0, 0, 1, job.accepted_s)
    due_s, left_s = _estimate(job, now_s, run_times)
    age_s = now_s - job.accepted_s
    slack_s = due_s - age_s - left_s
    if slack_s >= 0:
        return (0, job.policy.priority, 0, slack_s)
    worthless = age_s + left_s > LATE_FACTOR * due_s
    return (int(worthless), job.policy.priority, 1, left_s)


def can_meet_objective(job, now_s, run_times):
    """Return whether a job finishes in time if the rest of it starts at once."""
    due_s, left_s = _estimate(job, now_s, run_times)
    return now_s - job.accepted_s + left_s <= due_s


def estimate_slack_s(job, now_s, run_times):
    """Return the time that a job can lose and still meet its objective, in seconds."""
    due_s, left_s = _estimate(job, now_s, run_times)
    return due_s - (now_s - job.accepted_s) - left_s


def _estimate(job, now_s, run_times):
    """Return a job's objective and the rest of its critical path, in seconds.

    Both are kept until a step ends, and for `ESTIMATE_MAX_AGE_S` at most.
    """
    if job.estimate is None or now_s >= job.estimate[0]:
        due_s = compute_objective_s(job, run_times)
        left_s = _critical_path_s(job, run_times, left=True)
        job.estimate = (now_s + ESTIMATE_MAX_AGE_S, due_s, left_s)
    return job.estimate[1:]


def compute_objective_s(job, run_times):
    """Return the time in which a job should finish, by the expected run times."""
    return (
        job.policy.stretch * _critical_path_s(job, run_times)
        + job.policy.target_ms / 1000
    )


def _critical_path_s(job, run_times, left=False):
    """Return the critical path of a job in seconds, or with ``left`` the rest of it."""
    runs = next(iter(job.occurrences.values()), None)
    ends = []
    for number, step in enumerate(job.spec.steps):
        declared_s = step.estimate_ms / 1000
        count = runs[number].remaining if left and runs is not None else step.count
        run_s = 0.0
        if count:
            run_s = run_times.estimate_longest(job.policy.queue, declared_s, count)
        before = max((ends[each] for each in step.after), default=0.0)
        ends.append(before + run_s)
    return max(ends)
