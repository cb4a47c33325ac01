"""Order of waiting generations, and when waiting has become pointless.

Load pattern: long prompts arrive for seconds at more than the engines can read. First
come, first served makes every one of them late. Here those that can still meet their
goal go first, by their goal's time; the others wait for an engine with nothing to read
and are refused as soon as they cannot end within their time limit.
"""

import msgspec

# A request needs this many times its estimated run time before its time limit. The
# estimate of its output is right in the median only, so nothing is added.
RUN_TIME_MARGIN = 1.0
# A caller that is told to come back waits at least so long, and newcomers are spread
# over as much again.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0


class WaitingJob(msgspec.Struct, kw_only=True):
    """A generation that waits for an engine; times are on the steady clock."""

    id: str
    arrived_at: float
    # When its first event is due.
    goal_at: float
    # When its caller stops waiting.
    deadline: float
    priority: int
    prompt_tokens: int
    # Estimated time from being sent to its first event and to its end.
    first_event_s: float
    run_s: float

    def on_time(self, now: float) -> bool:
        """Returns whether the goal can still be met if the job is sent now."""
        return now + self.first_event_s <= self.goal_at

    def can_end(self, now: float) -> bool:
        """Returns whether the job can end within its time limit if sent now."""
        return now + RUN_TIME_MARGIN * self.run_s <= self.deadline


class GoalFirstOrder:
    """Jobs that can meet their goal first, by goal; then the others, oldest first."""

    def order(self, jobs: list[WaitingJob], now: float) -> list[WaitingJob]:
        """Returns the jobs in the order in which they are placed."""
        return sorted(
            jobs,
            key=lambda job: (
                (0, job.goal_at, job.priority)
                if job.on_time(now)
                else (1, job.arrived_at, job.priority)
            ),
        )

    def hopeless(
        self, jobs: list[WaitingJob], now: float, tokens_per_s: float
    ) -> list[WaitingJob]:
        """Returns the jobs to refuse now.

        A job is refused when it could not end in time if it were sent at once, or when
        what waits before it in line takes the engines longer than it can wait.
        """
        refused = []
        backlog = 0
        for job in self.order(jobs, now):
            wait_s = 0.0 if job.on_time(now) else backlog / tokens_per_s
            if job.can_end(now + wait_s):
                backlog += job.prompt_tokens
            else:
                refused.append(job)
        return refused

    def retry_after_s(
        self, jobs: list[WaitingJob], tokens_per_s: float, spread: float
    ) -> float:
        """Returns when a refused caller should come back.

        That is when the present backlog has been read; `spread`, from 0 to 1, keeps
        those who were refused together from coming back together.
        """
        backlog_s = sum(job.prompt_tokens for job in jobs) / tokens_per_s
        wait_s = max(MIN_RETRY_AFTER_S, backlog_s) * (1 + spread)
        return min(MAX_RETRY_AFTER_S, wait_s)
