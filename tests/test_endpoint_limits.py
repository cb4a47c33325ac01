"""Guards against sending an endpoint more requests than it says it takes."""

import pytest

from lagoonrill._internal.state.endpoint_limits import EndpointLimits, LimitEvidence


class Answers:
    """Takes answers of one endpoint."""

    def __init__(self):
        self.limits = EndpointLimits()
        self.changes = []

    def note(self, limit, *, sent_at, received_at, incarnation=1) -> float | None:
        evidence = LimitEvidence(
            endpoint="e",
            incarnation=incarnation,
            limit=limit,
            sent_at=sent_at,
            received_at=received_at,
        )
        change = self.limits.note(evidence)
        if change is not None:
            self.changes.append(change.after)
        return self.limits.limit("e", incarnation)


@pytest.fixture
def answers():
    return Answers()


def test_later_answer_changes_and_ends_a_limit(answers):
    assert answers.note(None, sent_at=1, received_at=2) is None
    assert answers.note(2.0, sent_at=2, received_at=3) == 2.0
    assert answers.note(5.0, sent_at=3, received_at=4) == 5.0
    assert answers.note(None, sent_at=4, received_at=5) is None
    assert answers.changes == [2.0, 5.0, None]


def test_earlier_answer_that_arrives_late_neither_ends_nor_restores_a_limit(answers):
    answers.note(2.0, sent_at=5, received_at=6)
    assert answers.note(None, sent_at=3, received_at=7) == 2.0
    answers.note(None, sent_at=7, received_at=8)
    assert answers.note(2.0, sent_at=4, received_at=5) is None


def test_lower_limit_applies_while_the_order_of_answers_is_unknown(answers):
    answers.note(2.0, sent_at=1, received_at=4)
    assert answers.note(1.0, sent_at=2, received_at=3) == 1.0
    assert answers.note(3.0, sent_at=2, received_at=5) == 1.0


def test_limit_ends_under_overlapping_answers_without_one(answers):
    answers.note(2.0, sent_at=0, received_at=1.0)
    for number in range(5):
        found = answers.note(None, sent_at=0.5 + 0.3 * number, received_at=2.0 + number)
    assert found is None


def test_limit_ends_with_a_restart_of_the_endpoint(answers):
    answers.note(2.0, sent_at=1, received_at=2)
    assert answers.limits.limit("e", 2) is None
    answers.limits.keep_only([])
    assert answers.limits.limit("e", 1) is None
