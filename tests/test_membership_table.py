"""Guards the membership table under any order of messages, lists and silences."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonrill._internal.protocol.messages import Heartbeat, Leaving
from lagoonrill._internal.state.membership_table import (
    ListedMember,
    MembershipTable,
    MemberState,
)

NAMES = st.sampled_from(["b", "c", "d"])
SUSPECT_S, DROP_S = 2.0, 6.0


class Sender:
    """The model's state of one instance."""

    def __init__(self):
        self.incarnation = 1
        self.sequence = 0
        self.left = False
        self.sent: list[Heartbeat] = []


class TableMachine(RuleBasedStateMachine):
    """Compares the table with the messages sent, in a full mesh.

    The total time that passes stays below the lifetime of a tombstone.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.table = MembershipTable(
            instance="a", zone="z", suspect_after_s=SUSPECT_S, drop_after_s=DROP_S
        )
        self.senders = {name: Sender() for name in "bcd"}
        # The newest heartbeat that was applied, by instance.
        self.newest: dict[str, Heartbeat] = {}
        self.heard_at: dict[str, float] = {}
        self.gone: dict[str, int] = {}
        self.elapsed = 0.0

    @rule(name=NAMES, leaving=st.booleans(), generation=st.integers(0, 5))
    def heartbeat(self, name, leaving, generation):
        sender = self.senders[name]
        sender.sequence += 1
        message = Heartbeat(
            instance=name,
            zone="z",
            incarnation=sender.incarnation,
            sequence=sender.sequence,
            generation=generation,
            leaving=leaving,
            peer_address=f"{name}:{sender.incarnation}",
        )
        sender.sent.append(message)
        known = self.table.get(name)
        taken = self.table.apply_heartbeat(message, self.now)
        self.table.set_linked({"b", "c", "d"}, self.now)
        assert (taken is None) == (self.gone.get(name) == sender.incarnation)
        if taken is not None:
            restarted = known is not None and known.incarnation != sender.incarnation
            assert taken.replaced == (restarted and known.incarnation != 0)
            self.newest[name] = message
            self.heard_at[name] = self.now

    @rule(name=NAMES, data=st.data())
    def late_duplicate(self, name, data):
        sent = self.senders[name].sent
        if name not in self.newest or not sent:
            return
        before = self.table.get(name)
        message = data.draw(st.sampled_from(sent))
        assert self.table.apply_heartbeat(message, self.now) is None
        assert self.table.get(name) == before

    @rule(name=NAMES)
    def restart(self, name):
        sender = self.senders[name]
        sender.incarnation += 1
        sender.sequence = 0

    @rule(name=NAMES, back=st.integers(0, 1))
    def leave(self, name, back):
        incarnation = self.senders[name].incarnation - back
        before = self.table.get(name)
        self.table.leave(Leaving(instance=name, incarnation=incarnation), self.now)
        if before is None or incarnation < before.incarnation:
            assert self.table.get(name) == before
        else:
            self.gone[name] = incarnation
            assert self.table.get(name).state is MemberState.DROPPED

    @rule(names=st.sets(NAMES))
    def list_instances(self, names):
        entries = [
            ListedMember(instance=name, zone="z", peer_address=f"{name}:0")
            for name in names
        ]
        dropped = {
            v.instance for v in self.table.peers() if v.state is MemberState.DROPPED
        }
        self.table.update_listed(entries, self.now)
        self.table.set_linked({"b", "c", "d"}, self.now)
        self.table.advance(self.now)
        for name in dropped:
            assert self.table.get(name).state is MemberState.DROPPED
        for name in names - self.newest.keys():
            self.heard_at.setdefault(name, self.now)

    @precondition(lambda self: self.elapsed < 50)
    @rule(seconds=st.sampled_from([0.5, 1.9, 2.1, 6.5]))
    def silence(self, seconds):
        self.now += seconds
        self.elapsed += seconds
        self.table.advance(self.now)
        for name, at in self.heard_at.items():
            self.check_silence(name, self.now - at)

    def check_silence(self, name, silence):
        state = self.table.get(name).state
        left = self.gone.get(name, -1) == self.table.get(name).incarnation
        if left or silence >= DROP_S:
            assert state is MemberState.DROPPED
        elif silence >= SUSPECT_S:
            assert state in (MemberState.SUSPECTED, MemberState.LEAVING)
        else:
            assert state in (MemberState.LIVE, MemberState.LEAVING)

    @rule()
    def pause_own_process(self):
        self.now += 60.0
        before = {view.instance: view.state for view in self.table.peers()}
        self.table.restart_timeouts(self.now)
        self.table.advance(self.now)
        for view in self.table.peers():
            if before[view.instance] is not MemberState.DROPPED:
                assert view.state is not MemberState.DROPPED
                self.heard_at[view.instance] = self.now
        # A tombstone may have expired during the pause, so the model starts over.
        self.__init__()

    @invariant()
    def newest_heartbeat_wins(self):
        for name, message in self.newest.items():
            view = self.table.get(name)
            assert view.incarnation == max(message.incarnation, self.gone.get(name, 0))
            assert view.generation == message.generation


TestMembershipTable = TableMachine.TestCase
TestMembershipTable.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)


def test_unlinked_member_follows_list_notices_and_zone():
    """Guards against unlinked members that stay live after they or their zone left."""
    table = MembershipTable(
        instance="a", zone="z", suspect_after_s=SUSPECT_S, drop_after_s=DROP_S
    )
    entries = [
        ListedMember(instance=name, zone=zone, peer_address=name)
        for name, zone in [("b", "y"), ("c", "y"), ("d", "z")]
    ]
    table.update_listed(entries, 0.0)
    table.set_linked({"b"}, 0.0)
    beat = Heartbeat(instance="b", zone="y", incarnation=1, sequence=1, generation=1)
    table.apply_heartbeat(beat, 8.0)
    table.advance(9.0)
    assert [view.instance for view in table.live()] == ["b", "c", "d"]
    table.report_gone("d", 12.0)
    table.advance(10.0)
    assert [view.instance for view in table.live()] == ["b", "c"]
    table.advance(14.0)
    table.advance(14.1)
    assert [view.instance for view in table.live()] == ["d"]
