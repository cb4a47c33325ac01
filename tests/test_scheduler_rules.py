"""Guards each rule of the scheduler, with a clock that the tests advance."""

import pytest

from lagoonrill._internal.protocol.errors import (
    DeadlineExceeded,
    NoEndpoint,
    Overloaded,
)
from lagoonrill._internal.state.request_queue import Cancelled, Usage
from tests.scheduler_kit import COUNTER, LOOKUP, PLAN, Kit, engine, request_class


def test_higher_tier_goes_first():
    """A plan that arrived earlier must not delay a lookup."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    running = kit.submit(LOOKUP)
    plan, lookup = kit.submit(PLAN), kit.submit(LOOKUP)
    kit.release(running)
    assert lookup.grant is not None
    assert plan.grant is None


def test_earliest_deadline_goes_first_within_a_team():
    """A request must not wait behind one of its team with a later deadline."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    running = kit.submit(LOOKUP)
    later, urgent = kit.submit(LOOKUP, wait_s=9), kit.submit(LOOKUP, wait_s=5)
    kit.release(running)
    assert urgent.grant is not None
    assert later.grant is None


def test_teams_share_by_weight():
    """A team of weight 2 gets two thirds of the slots that both teams want."""
    teams = [("oak", {"weight": 2.0}), ("elm", {"weight": 1.0})]
    kit = Kit(endpoints=[engine("e1", slots=1)], teams=teams)
    entries = [kit.submit(PLAN, team) for _ in range(60) for team in ("oak", "elm")]
    served = serve_in_turn(kit, entries, 60)
    assert served.count("oak") == pytest.approx(40, abs=2)


def test_actual_usage_corrects_the_share():
    """A team whose answers are ten times longer must get fewer of them."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    entries = [kit.submit(PLAN, team) for _ in range(60) for team in ("oak", "elm")]
    served = serve_in_turn(kit, entries, 55, tokens={"oak": 1000, "elm": 100})
    assert served.count("oak") <= 9


def serve_in_turn(kit, entries, count, tokens=None):
    """Serves `count` requests one after the other and returns their teams."""
    served = []
    for _ in range(count):
        entry = next(e for e in entries if e.grant and not e.grant.released)
        served.append(entry.ticket.team)
        kit.release(entry, tokens=(tokens or {}).get(entry.ticket.team, 100))
    return served


def test_team_limit_holds_back_only_that_team():
    """A team at its in-flight limit waits; other teams use the free slots."""
    kit = Kit(endpoints=[engine("e1", slots=3)], teams=[("oak", {"max_in_flight": 1})])
    first, second = kit.submit(LOOKUP), kit.submit(LOOKUP)
    other = kit.submit(LOOKUP, "elm")
    assert (first.grant is None, second.grant is None) == (False, True)
    assert other.grant is not None
    kit.release(first)
    assert second.grant is not None


def test_full_class_queue_sheds_the_newest_request():
    """A class must not use more memory than its queue limit allows."""
    small = request_class("small", 1, max_queue=1)
    kit = Kit(endpoints=[engine("e1", slots=1)], classes=[small])
    kit.submit(small), kit.submit(small)
    shed = kit.submit(small)
    assert isinstance(shed.error, Overloaded)
    assert "small" in shed.error.message
    assert "class_queue_full" in shed.error.message
    assert shed.error.retry_after_s > 0
    assert kit.sheds(small) == {"class_queue_full": 1}


def test_full_queue_sheds_the_newest_of_the_lowest_tier():
    """A counter question must not be refused because plans fill the queue."""
    kit = Kit(endpoints=[engine("e1", slots=1)], max_waiting=2)
    kit.submit(COUNTER)
    old, new = kit.submit(PLAN), kit.submit(PLAN)
    question = kit.submit(COUNTER)
    assert isinstance(new.error, Overloaded)
    assert old.error is None and question.error is None
    assert isinstance(kit.submit(PLAN).error, Overloaded)
    assert kit.sheds(PLAN) == {"displaced": 1, "queue_full": 1}


def test_request_is_refused_when_its_deadline_passes():
    """A request must be refused as soon as its deadline passes, not later."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    kit.submit(LOOKUP)
    late = kit.submit(LOOKUP, wait_s=3)
    kit.advance(2.99)
    assert not late.is_ended
    kit.advance(0.02)
    assert isinstance(late.error, DeadlineExceeded)
    assert kit.sheds(LOOKUP) == {"deadline": 1}


def test_deadline_accounts_for_the_least_service_time():
    """A request that can no longer be answered in time must not take a slot."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    for _ in range(3):
        kit.release(kit.submit(LOOKUP), first_token_s=4.0)
    assert isinstance(kit.submit(LOOKUP, wait_s=1.9).error, DeadlineExceeded)
    assert kit.submit(LOOKUP, wait_s=2.1).grant is not None


def test_request_that_would_be_late_is_refused_on_arrival():
    """A request must not wait in a queue that is too long for its deadline."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    for _ in range(40):
        kit.submit(LOOKUP, wait_s=500)
    refused = kit.submit(LOOKUP, wait_s=5)
    assert isinstance(refused.error, Overloaded)
    assert refused.error.retry_after_s == 30.0
    assert kit.sheds(LOOKUP) == {"predicted_late": 1}


def test_cancelled_ticket_leaves_the_queue():
    """A request of a caller that has disconnected must not take a slot later."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    running = kit.submit(LOOKUP)
    gone, next_one = kit.submit(LOOKUP), kit.submit(LOOKUP)
    assert kit.scheduler.cancel(gone.ticket)
    assert not kit.scheduler.cancel(running.ticket)
    kit.release(running)
    assert isinstance(gone.error, Cancelled)
    assert next_one.grant is not None


def test_second_release_has_no_effect():
    """A slot that is released twice must not be counted twice."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    entry = kit.submit(LOOKUP)
    kit.release(entry)
    kit.release(entry)
    assert kit.submit(LOOKUP).grant is not None
    assert kit.submit(LOOKUP).grant is None


def test_excluded_endpoint_is_not_used_again():
    """A retry must not use the endpoint that failed it and must not block others."""
    kit = Kit(endpoints=[engine("e1", slots=1), engine("e2", slots=1)])
    running = [kit.submit(LOOKUP), kit.submit(LOOKUP)]
    retry = kit.submit(LOOKUP, excluded={"e1"}, wait_s=5)
    other = kit.submit(LOOKUP, wait_s=9)
    on_first = next(e for e in running if e.grant.endpoint.id == "e1")
    kit.release(on_first)
    assert retry.grant is None and other.grant.endpoint.id == "e1"
    excluded = kit.submit(LOOKUP, excluded={"e1", "e2"})
    assert isinstance(excluded.error, NoEndpoint)


def test_preemption_takes_the_newest_lowest_grant_only():
    """A question that would be late preempts only the plan that loses least work."""
    kit = Kit()
    old, new = kit.submit(PLAN), kit.submit(PLAN)
    question = kit.submit(COUNTER)
    kit.advance(0.6)
    assert new.grant.preempted.is_set() and not old.grant.preempted.is_set()
    kit.release(new)
    assert question.grant is not None


def test_preempted_stream_resumes_after_its_deadline():
    """An accepted plan must not be lost because its first deadline has passed."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    plan = kit.submit(PLAN, wait_s=1)
    question = kit.submit(COUNTER)
    kit.advance(2)
    assert plan.grant.preempted.is_set()
    kit.release(plan)
    resumed = kit.scheduler.submit(plan.ticket)
    assert resumed.error is None
    kit.advance(60)
    assert resumed.error is None
    kit.release(question)
    assert resumed.grant is not None


def test_work_that_cannot_resume_is_not_preempted():
    """A call that may run only once must never be interrupted."""
    order = request_class("order", 2, repeatable=False)
    kit = Kit(classes=[COUNTER, order], endpoints=[engine("e1", slots=1)])
    running = kit.submit(order)
    question = kit.submit(COUNTER, wait_s=3)
    kit.advance(3.1)
    assert not running.grant.preempted.is_set()
    assert isinstance(question.error, DeadlineExceeded)


def test_equal_tier_is_not_preempted():
    """Classes of one tier wait for each other."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    running = kit.submit(LOOKUP)
    kit.submit(LOOKUP)
    kit.advance(4)
    assert not running.grant.preempted.is_set()


def test_protected_request_waits_past_its_deadline_for_a_signalled_slot():
    """A question must not be shed while a plan is about to release its slot."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    plan = kit.submit(PLAN)
    question = kit.submit(COUNTER, wait_s=0.3)
    kit.advance(0.5)
    assert plan.grant.preempted.is_set() and not question.is_ended
    kit.release(plan)
    assert question.grant is not None


def test_protected_request_does_not_hang_on_a_stuck_stream():
    """A plan that ignores its preemption must not block a question indefinitely."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    kit.submit(PLAN)
    question = kit.submit(COUNTER, wait_s=2)
    kit.advance(3.2)
    assert isinstance(question.error, DeadlineExceeded)


def test_request_without_any_endpoint_fails_at_once():
    """A request must not wait when all its endpoints are leaving."""
    kit = Kit()
    kit.table.mark_leaving("e1", "instance_list")
    assert isinstance(kit.submit(COUNTER).error, NoEndpoint)
    assert isinstance(kit.submit(COUNTER, target="other").error, NoEndpoint)


def test_waiting_requests_end_when_the_last_endpoint_leaves():
    """Requests in the queue must not wait until their deadline."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    kit.submit(LOOKUP)
    waiting = kit.submit(LOOKUP)
    kit.table.mark_leaving("e1", "answer")
    assert isinstance(waiting.error, NoEndpoint)


def test_down_endpoint_gets_one_trial_after_its_backoff():
    """After the backoff, a down endpoint must get only one request as a trial."""
    kit = Kit()
    kit.table.mark_down("e1", "connection refused")
    first, second = kit.submit(LOOKUP), kit.submit(LOOKUP)
    assert first.grant is None
    kit.advance(0.6)
    assert first.grant.trial and second.grant is None
    kit.release(first)
    assert second.grant is not None and not second.grant.trial


def test_models_on_one_endpoint_share_its_tiers():
    """A plan for one model must not overtake a question for another on one engine."""
    shared = engine("e1", slots=1, models=("m", "n"))
    kit = Kit(endpoints=[shared, engine("e2", slots=1, models=("n",))])
    running = kit.submit(COUNTER)
    plan, question = kit.submit(PLAN), kit.submit(COUNTER)
    other = kit.submit(PLAN, target="n")
    assert other.grant.endpoint.id == "e2"
    waiting = kit.submit(PLAN, target="n")
    kit.release(running)
    assert question.grant is not None
    assert plan.grant is None and waiting.grant is None


def test_manifest_without_the_target_ends_its_requests():
    """Requests for a model that a new manifest removes must be answered."""
    kit = Kit(endpoints=[engine("e1", slots=1), engine("e2", models=("n",))])
    running, waiting = kit.submit(LOOKUP), kit.submit(LOOKUP)
    kit.endpoints = [engine("e2", models=("n",))]
    kit.apply()
    assert isinstance(waiting.error, NoEndpoint)
    kit.release(running)
    assert kit.scheduler.dump().in_use["e1"] == 0


def test_teams_of_old_manifests_are_removed():
    """Memory must not grow with the number of teams that were removed."""
    kit = Kit(endpoints=[engine("e1", slots=1)], teams=[("oak", {}), ("elm", {})])
    running, waiting = kit.submit(LOOKUP, "oak"), kit.submit(LOOKUP, "elm")
    kit.teams = []
    kit.apply()
    (queue,) = kit.scheduler.queues.values()
    assert list(queue.teams) == ["elm"], "only a team with waiting requests is kept"
    kit.release(running)
    assert waiting.grant is not None


def test_baseline_serves_in_order_of_arrival():
    """A baseline that uses tiers would make comparisons with it invalid."""
    kit = Kit(endpoints=[engine("e1", slots=1)], policy="fifo_round_robin")
    running = kit.submit(PLAN)
    plan, question = kit.submit(PLAN), kit.submit(COUNTER)
    kit.advance(2)
    assert not running.grant.preempted.is_set()
    kit.scheduler.release(running.grant, Usage(tokens=5))
    assert plan.grant is not None and question.grant is None


def test_team_below_its_share_catches_up():
    """A short burst of one team must not wait behind a team with a constant backlog."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    entries = [kit.submit(LOOKUP, "oak") for _ in range(20)]
    served = serve_in_turn(kit, entries, 10)
    entries += [kit.submit(LOOKUP, "elm") for _ in range(4)]
    served += serve_in_turn(kit, entries, 6)
    assert served[10:].count("elm") >= 4


def test_protected_work_is_preempted_for_protected_work_only():
    """A question of a lower tier must keep its slot against unprotected requests."""
    urgent = request_class("urgent", 0)
    question = request_class("question", 1, protected=True)
    for waiting, preempted in ((urgent, False), (COUNTER, True)):
        kit = Kit(
            endpoints=[engine("e1", slots=1)], classes=[COUNTER, urgent, question]
        )
        running = kit.submit(question)
        kit.submit(waiting, wait_s=5)
        kit.advance(2)
        assert running.grant.preempted.is_set() == preempted


@pytest.mark.parametrize("tokens", [0, 7])
def test_stream_that_has_begun_is_not_shed_after_a_failure(tokens):
    """A crash must not shed a plan that has sent tokens, only one without any."""
    kit = Kit(endpoints=[engine("e1", slots=1), engine("e2", slots=1)])
    plan = kit.submit(PLAN, wait_s=1)
    kit.submit(COUNTER)
    kit.advance(60)
    kit.release(plan, tokens=tokens, failed=True)
    plan.ticket.excluded.add(plan.grant.endpoint.id)
    retry = kit.scheduler.submit(plan.ticket)
    assert isinstance(retry.error, DeadlineExceeded) == (tokens == 0)


def test_length_of_a_resumed_answer_is_its_total():
    """Preempted plans must not lower the estimated answer length of their class."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    plan = kit.submit(PLAN)
    question = kit.submit(COUNTER)
    kit.advance(2)
    kit.release(plan, tokens=300)
    resumed = kit.scheduler.submit(plan.ticket)
    kit.release(question)
    kit.release(resumed, tokens=700)
    assert kit.policy.output_length.estimate("plan", "oak") == 1000


def test_due_trial_without_a_free_slot_does_not_hide_a_later_one():
    """A request must take the first possible trial, not wait for its deadline."""
    kit = Kit(endpoints=[engine("e1", slots=1), engine("e2", slots=1)])
    running = {e.grant.endpoint.id: e for e in (kit.submit(LOOKUP), kit.submit(LOOKUP))}
    waiting = kit.submit(LOOKUP)
    kit.table.mark_down("e2", "connection lost")
    kit.advance(0.3)
    kit.table.mark_down("e1", "connection lost")
    kit.release(running["e1"], tokens=0, failed=True)
    kit.advance(0.6)
    assert waiting.grant is not None and waiting.grant.endpoint.id == "e1"


def test_trial_of_an_excluded_endpoint_is_not_waited_for():
    """A retry must fail at once if only the endpoint that failed it is left."""
    kit = Kit(endpoints=[engine("e1", slots=1)])
    kit.table.mark_down("e1", "connection lost")
    assert isinstance(kit.submit(LOOKUP, excluded={"e1"}).error, NoEndpoint)


def test_class_that_always_waits_gets_its_whole_floor():
    """Guards against a floor that is charged twice for each of its slots."""
    plan = request_class("plan", 2, first_token_ms=60_000, floor=0.1)
    counter = request_class("counter", 0, protected=True, max_wait_ms=600_000)
    kit = Kit(endpoints=[engine("e1", slots=10)], classes=(counter, plan))
    running, served = [], 0
    waiting = [kit.submit(counter, wait_s=600) for _ in range(30)]
    waiting += [kit.submit(plan, wait_s=600) for _ in range(4)]
    for _ in range(60):
        kit.advance(1.0)
        for entry in running:
            kit.release(entry, tokens=50)
            kind = entry.ticket.request_class
            served += kind is plan
            waiting.append(kit.submit(kind, wait_s=600))
        running = [entry for entry in waiting if entry.grant is not None]
        waiting = [entry for entry in waiting if entry.grant is None]
    # A floor of a tenth of ten slots gives 60 in 60 s, less a tenth for the first
    # credit.
    assert served >= 54
