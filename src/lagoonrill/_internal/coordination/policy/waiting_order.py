"""Orders queued generations and rejects those that can no longer finish in time.

Load pattern: for several seconds, long prompts arrive faster than the engines can
prefill them. First come, first served would make all of them late. Requests that can
still meet their goal go first, ordered by the time of the goal. The others wait for an
engine without a prefill backlog and are rejected once they cannot finish within their
time limit.
"""

import msgspec

# Time that must remain before the time limit, as a multiple of the estimated run time.
# The output estimate is accurate only in the median, so no margin is added.
RUN_TIME_MARGIN = 1.0
# Bounds of the retry delay for rejected callers. Below the upper bound, up to the same
# time is added to spread out their retries.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0


class WaitingJob(msgspec.Struct, kw_only=True):
    """Generation queued for an engine; times are on the monotonic clock."""

    id: str
    arrived_at: float
    # When the first event is due.
    goal_at: float
    # When the caller times out.
    deadline: float
    priority: int
    prompt_tokens: int
    # Estimated time from sending to the first event, and to the end of the answer.
    first_event_s: float
    run_s: float

    def on_time(self, now: float) -> bool:
        """Returns whether the goal can still be met if the job is sent now."""
        return now + self.first_event_s <= self.goal_at

    def can_finish(self, now: float) -> bool:
        """Returns whether the job can finish within its time limit if sent now."""
        return now + RUN_TIME_MARGIN * self.run_s <= self.deadline


class GoalFirstOrder:
    """Orders jobs that can meet their goal by goal time, then the others by age."""

    def order(self, jobs: list[WaitingJob], now: float) -> list[WaitingJob]:
        """Returns the jobs in placement order."""
        return sorted(
            jobs,
            key=lambda job: (
                (0, job.goal_at, job.priority)
                if job.on_time(now)
                else (1, job.arrived_at, job.priority)
            ),
        )

    def jobs_to_reject(
        self, jobs: list[WaitingJob], now: float, tokens_per_s: float
    ) -> list[WaitingJob]:
        """Returns the jobs to reject now.

        A job is rejected if it could not finish in time when sent immediately, or if
        the engines need longer for the jobs queued before it than it can wait.
        """
        refused = []
        backlog = 0
        for job in self.order(jobs, now):
            wait_s = 0.0 if job.on_time(now) else backlog / tokens_per_s
            if job.can_finish(now + wait_s):
                backlog += job.prompt_tokens
            else:
                refused.append(job)
        return refused

    def retry_after_s(
        self, jobs: list[WaitingJob], tokens_per_s: float, spread: float
    ) -> float:
        """Returns the retry delay for a rejected caller.

        It is the time to prefill the current backlog. `spread`, from 0 to 1, prevents
        callers that were rejected together from retrying at the same time.
        """
        backlog_s = sum(job.prompt_tokens for job in jobs) / tokens_per_s
        wait_s = max(MIN_RETRY_AFTER_S, backlog_s) * (1 + spread)
        return min(MAX_RETRY_AFTER_S, wait_s)
