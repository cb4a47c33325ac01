"""Guards the division of slots between instances."""

from hypothesis import given, strategies as st

from lagoonrill._internal.protocol.messages import EndpointUse
from lagoonrill._internal.state.slots import Division, SlotShares
from tests.scheduler_kit import COUNTER, PLAN, Kit, engine


def shares_of(instance, slots, peers):
    shares = SlotShares(instance=instance)
    shares.apply_endpoints([engine("e1", slots=slots)])
    shares.update_peers(
        {
            peer: [EndpointUse(endpoint="e1", in_use=in_use, waiting=waiting)]
            for peer, (in_use, waiting) in peers.items()
        }
    )
    return shares


@given(st.integers(0, 64), st.sets(st.text(min_size=1), min_size=1, max_size=9))
def test_base_shares_add_up(slots, members):
    """Rounding must neither lose a slot nor assign one to two instances."""
    division = Division(endpoint_id="e1", slots=slots, members=members)
    shares = [division.base(member) for member in members]
    assert sum(shares) == slots
    assert max(shares) - min(shares) <= 1


def test_share_of_a_lost_peer_is_reassigned():
    """Slots of a dropped instance must be used by the others."""
    shares = shares_of("i1", 8, {"i2": (4, 1)})
    assert shares.limit("e1") == 4
    shares.update_peers({})
    assert shares.limit("e1") == 8


def test_only_unused_slots_without_waiters_are_borrowed():
    """A peer that waits, for example for a busy engine, must get its own slots."""
    assert shares_of("i1", 8, {"i2": (1, 0)}).limit("e1") == 7
    assert shares_of("i1", 8, {"i2": (1, 1)}).limit("e1") == 4
    assert shares_of("i1", 8, {"i2": (4, 0)}).limit("e1") == 4


def test_borrowers_that_wait_divide_what_is_unused():
    """Two borrowers with the same view must not both take the same slot."""
    uses = {"i1": (3, 1), "i2": (3, 1), "i3": (0, 0)}
    limits = {
        name: shares_of(
            name, 9, {peer: use for peer, use in uses.items() if peer != name}
        ).limit("e1")
        for name in ("i1", "i2")
    }
    assert sum(limits.values()) == 9


def test_overlapping_borrowing_lasts_one_heartbeat():
    """Instances that borrow the same slots must stop at the next heartbeat."""
    idle = {"i3": (0, 0)}
    assert shares_of("i1", 9, idle | {"i2": (3, 0)}).limit("e1") == 6
    assert shares_of("i2", 9, idle | {"i1": (3, 0)}).limit("e1") == 6
    # Both borrowed three slots of i3. The heartbeat shows it, so neither starts more.
    after = {"i1": (6, 1), "i2": (6, 1), "i3": (0, 0)}
    for name in ("i1", "i2"):
        peers = {peer: use for peer, use in after.items() if peer != name}
        assert shares_of(name, 9, peers).limit("e1") <= 6


@given(st.integers(1, 24), st.lists(st.integers(0, 8), min_size=2, max_size=4))
def test_borrowing_converges_to_the_slots(slots, demands):
    """After some heartbeats, all instances together must use the slots exactly."""
    names = [f"i{n}" for n in range(len(demands))]
    wanted = dict(zip(names, demands, strict=True))
    in_use = dict.fromkeys(names, 0)
    for name in names * 6:
        peers = {
            peer: (in_use[peer], max(0, wanted[peer] - in_use[peer]))
            for peer in names
            if peer != name
        }
        limit = shares_of(name, slots, peers).limit("e1")
        # Requests end between heartbeats, so use above the limit disappears.
        in_use[name] = min(wanted[name], limit)
    assert sum(in_use.values()) == min(slots, sum(demands))


def test_scheduler_uses_the_limits():
    """A scheduler must keep to its share and take over that of a lost peer."""
    kit = Kit(endpoints=[engine("e1", slots=4)])
    busy = [EndpointUse(endpoint="e1", in_use=2, waiting=1)]
    kit.scheduler.update_peers({"i2": busy})
    entries = [kit.submit(PLAN) for _ in range(4)]
    assert [e.grant is not None for e in entries] == [True, True, False, False]
    uses = kit.scheduler.local_uses()
    assert uses == [EndpointUse(endpoint="e1", in_use=2, waiting=2)]
    kit.scheduler.update_peers({})
    assert all(entry.grant is not None for entry in entries)


def test_borrowed_slot_is_given_back_when_its_lender_uses_it():
    """A lender's request must not wait in the engine for a borrower's long answer."""
    kit = Kit(endpoints=[engine("e1", slots=4)])
    idle = [EndpointUse(endpoint="e1", in_use=0, waiting=0)]
    kit.scheduler.update_peers({"i2": idle})
    plans = [kit.submit(PLAN) for _ in range(4)]
    assert all(entry.grant is not None for entry in plans)
    lender = [EndpointUse(endpoint="e1", in_use=1, waiting=0)]
    kit.scheduler.update_peers({"i2": lender})
    signalled = [entry for entry in plans if entry.grant.preempted.is_set()]
    assert signalled == [plans[-1]]
    kit.scheduler.update_peers({"i2": lender})
    assert sum(entry.grant.preempted.is_set() for entry in plans) == 1


def test_own_share_and_protected_work_are_not_given_back():
    """A lender reclaims only borrowed slots, and only from lower classes."""
    kit = Kit(endpoints=[engine("e1", slots=4)])
    kit.scheduler.update_peers(
        {"i2": [EndpointUse(endpoint="e1", in_use=0, waiting=0)]}
    )
    running = [kit.submit(COUNTER) for _ in range(3)] + [kit.submit(PLAN)]
    busy = [EndpointUse(endpoint="e1", in_use=4, waiting=2)]
    kit.scheduler.update_peers({"i2": busy})
    signalled = [entry for entry in running if entry.grant.preempted.is_set()]
    assert signalled == [running[-1]]
