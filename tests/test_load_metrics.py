"""Guards the gauges by which operators see late reports and engines of other speed."""

from lagoonrill._internal.coordination.load_metrics import register_load_metrics
from lagoonrill._internal.coordination.policy.shared_retry_budget import (
    SharedRetryBudget,
)
from lagoonrill._internal.state.gateway_metrics import GatewayMetrics
from tests.test_gateway_peers import PeersKit


def test_gauges_show_age_of_reports_and_tokens_that_were_not_known():
    kit = PeersKit(3)
    table = kit.peers.load_table
    metrics = GatewayMetrics()
    budget = SharedRetryBudget(ratio=0.0, window_s=10, fixed=0)
    register_load_metrics(metrics, load_table=table, peers=kit.peers, budget=budget)
    kit.now += 0.4
    kit.receive_digest(0)
    for pending in (700, 0):
        job = table.begin(engine="e", tokens=500, heavy=True)
        table.note_owner_reply(job, pending)
    budget.allow("s", instances=1)
    lines = dict(line.split() for line in metrics.exposition().splitlines())
    values = {name.removeprefix("lagoonrill_"): value for name, value in lines.items()}
    assert values == {
        "engine_load_replies_total": "2",
        "engine_load_missed_tokens_total": "700",
        "engine_load_excess_tokens_total": "500",
        "engine_load_age_seconds": "0.4",
        "engines_off_speed": "0",
        "retries_denied_total": "1",
    }
