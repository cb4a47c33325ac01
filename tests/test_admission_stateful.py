"""Guards against engine work that is never ended, over all orders of the decisions."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonrill._internal.coordination.engine_requests import Waiter, WaiterState
from tests.test_engine_admission import Peers, admission, generation

ENGINES = 3
# Time limits of the requests, in seconds.
TIME_LIMITS = st.sampled_from((0.3, 2.0, 10.0))
OPEN_STATES = (WaiterState.WAITING, WaiterState.PLACED, WaiterState.NEW)


class AdmissionMachine(RuleBasedStateMachine):
    """Runs each step of `EngineAdmission` that its lock makes atomic."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.built = admission(ENGINES)
        self.built.peers = Peers(count=2, zone_local=True)
        self.built.clock = self.built.load_table.clock = lambda: self.now
        self.waiters = []
        self.running = []

    def pick(self, data, *states):
        found = [waiter for waiter in self.waiters if waiter.state in states]
        return data.draw(st.sampled_from(found)) if found else None

    @rule(name=st.sampled_from(("ask", "plan")), limit_s=TIME_LIMITS)
    def arrive(self, name, limit_s):
        item = generation(name, 800 if name == "ask" else 9_000)
        item.id = f"r{len(self.waiters)}"
        item.arrived_at = self.now
        item.deadline = self.now + limit_s
        self.built._note_prompt(item)
        waiter = Waiter(generation=item, view=self.built._view(item))
        self.waiters.append(waiter)
        self.built.submit(waiter)

    @rule(seconds=st.sampled_from((0.01, 0.2, 3.0)))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def review(self):
        self.built.review("models")

    @rule(data=st.data())
    def grant(self, data):
        waiter = self.pick(data, WaiterState.PLACED)
        if waiter:
            self.built.grant(waiter)
            self.running.append(waiter)

    @rule(data=st.data())
    def deny(self, data):
        waiter = self.pick(data, WaiterState.PLACED)
        if waiter:
            self.built.deny(waiter)

    @rule(data=st.data())
    def submit_again(self, data):
        waiter = self.pick(data, WaiterState.NEW)
        if waiter:
            self.built.submit(waiter)

    @rule(data=st.data())
    def disconnect(self, data):
        waiter = self.pick(
            data, WaiterState.WAITING, WaiterState.PLACED, WaiterState.REFUSED
        )
        if waiter:
            self.built.withdraw(waiter)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), started=st.booleans())
    def end(self, data, started):
        waiter = data.draw(st.sampled_from(self.running))
        self.running.remove(waiter)
        if started:
            self.built.started(waiter.admission, waiter.generation)
        self.built.ended(
            waiter.admission,
            waiter.generation,
            complete=started,
            broken=False,
            token_s=None,
        )

    @invariant()
    def each_waiting_request_is_queued_once(self):
        queued = self.built.waiting.get("models", [])
        waiting = [item for item in self.waiters if item.state is WaiterState.WAITING]
        assert sorted(map(id, queued)) == sorted(map(id, waiting))

    @invariant()
    def each_decided_request_wakes_its_thread(self):
        for waiter in self.waiters:
            undecided = waiter.state in (WaiterState.NEW, WaiterState.WAITING)
            assert waiter.decided.is_set() is not undecided

    @invariant()
    def engine_work_is_that_of_placed_and_running_requests(self):
        placed = [item for item in self.waiters if item.state is WaiterState.PLACED]
        work = self.built.load_table.own_work()
        assert sum(item.light + item.heavy for item in work) == len(placed) + len(
            self.running
        )

    @invariant()
    def no_request_waits_past_its_limit_after_a_review(self):
        self.built.review("models")
        for waiter in self.waiters:
            if waiter.state is WaiterState.WAITING:
                assert self.now < waiter.generation.deadline

    def teardown(self):
        for waiter in self.running:
            self.built.load_table.end(waiter.admission.job)
        for waiter in self.waiters:
            if waiter.state in OPEN_STATES and waiter.state is not WaiterState.NEW:
                self.built.withdraw(waiter)
        assert not self.built.load_table.own_work()
        assert not self.built.load_table.totals


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
