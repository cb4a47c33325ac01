"""Guards the queue order of generations when prompts arrive faster than engines read.

With first come, first served, each request waits behind those that are already late,
so that all requests become late.
"""

from lagoonrill._internal.coordination.policy.waiting_order import (
    GoalFirstOrder,
    WaitingJob,
)


def job(id: str, *, arrived: float, goal: float = 0.8, limit: float = 5.0, **options):
    defaults = {
        "priority": 1,
        "prompt_tokens": 5_000,
        "first_event_s": 0.3,
        "run_s": 1.0,
    }
    return WaitingJob(
        id=id,
        arrived_at=arrived,
        goal_at=arrived + goal,
        deadline=arrived + limit,
        **(defaults | options),
    )


def ids(jobs):
    return [item.id for item in jobs]


def test_jobs_that_can_meet_their_goal_go_before_those_that_cannot():
    jobs = [job("late", arrived=0.0), job("second", arrived=0.9), job("x", arrived=0.8)]
    assert ids(GoalFirstOrder().order(jobs, now=1.0)) == ["x", "second", "late"]


def test_sustained_overload_serves_more_on_time_than_first_come_first_served():
    # 10 requests per second for 3 s, at engines that read 6 prompts per second.
    def on_time(order) -> int:
        queue, met = [], 0
        arrivals = [job(str(n), arrived=n / 10) for n in range(30)]
        for tick in range(36):
            now = tick / 6
            queue += [item for item in arrivals if item.arrived_at <= now]
            arrivals = [item for item in arrivals if item.arrived_at > now]
            if queue:
                chosen = order(queue, now)
                queue.remove(chosen)
                met += chosen.on_time(now)
        return met

    policy = GoalFirstOrder()
    first_come = on_time(lambda queue, now: min(queue, key=lambda j: j.arrived_at))
    goal_first = on_time(lambda queue, now: policy.order(queue, now)[0])
    assert goal_first >= 18
    assert first_come < 18


def test_a_request_that_cannot_end_in_time_is_refused_at_once():
    jobs = [job("short", arrived=0.0, limit=0.9), job("fits", arrived=0.0)]
    refused = GoalFirstOrder().jobs_to_reject(jobs, now=0.0, tokens_per_s=30_000)
    assert ids(refused) == ["short"]


def test_a_late_request_is_refused_once_the_queue_before_it_is_too_long():
    # All requests are late; the engines read one prompt per second.
    jobs = [job(str(n), arrived=n / 100) for n in range(10)]
    refused = GoalFirstOrder().jobs_to_reject(jobs, now=1.5, tokens_per_s=5_000)
    kept = [item.id for item in jobs if item not in refused]
    assert kept == ["0", "1", "2"]


def test_no_request_is_refused_while_the_queue_is_short():
    jobs = [job(str(n), arrived=0.0) for n in range(3)]
    assert GoalFirstOrder().jobs_to_reject(jobs, now=0.1, tokens_per_s=30_000) == []


def test_requests_refused_together_get_different_retry_times():
    jobs = [job(str(n), arrived=0.0) for n in range(10)]
    policy = GoalFirstOrder()
    times = [policy.retry_after_s(jobs, 50_000, n / 10) for n in range(10)]
    assert len(set(times)) == 10
    assert min(times) >= 1.0
