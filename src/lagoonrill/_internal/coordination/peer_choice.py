"""Choice of the peers that an instance keeps links to."""

from ..state.rendezvous import highest

FULL_MESH_LIMIT = 8
# A link exists when either side picks the other, so half of the wanted 8 and 2 links
# are picked by each side.
OWN_ZONE_PICKS = 4
OTHER_ZONE_PICKS = 1
# Above the full mesh, heartbeats and polls are this much rarer. At 0.5 s they cost
# one of 390 daemons 3.5% of a core, of the 2% that it has for all control work.
LARGE_FLEET_SLOWDOWN = 2


def is_full_mesh(member_count: int) -> bool:
    """Tells whether a fleet of this size links every pair (this instance counts)."""
    return member_count <= FULL_MESH_LIMIT


def choose_links(instance: str, zone: str, members: dict[str, str]) -> set[str]:
    """Returns the peers to link; `members` maps all instances to their zones.

    Both sides of a pair come to the same choice from the same members.

    >>> choose_links("a", "z", {"a": "z", "b": "z", "c": "y"}) == {"b", "c"}
    True
    """
    others = {name for name in members if name != instance}
    if is_full_mesh(len(others) + 1):
        return others
    by_zone: dict[str, list[str]] = {}
    for name, member_zone in (members | {instance: zone}).items():
        by_zone.setdefault(member_zone, []).append(name)
    chosen = set()
    for other_zone, names in by_zone.items():
        picks = OWN_ZONE_PICKS if other_zone == zone else OTHER_ZONE_PICKS
        chosen.update(_picks(instance, names, picks))
        chosen.update(
            name for name in names if instance in _picks(name, by_zone[zone], picks)
        )
    return chosen - {instance}


def _picks(instance: str, candidates: list[str], count: int) -> list[str]:
    # A weight that is the same in both directions makes most picks mutual, which left
    # 15.7 links on average instead of 22.
    others = [name for name in candidates if name != instance]
    return highest(instance, others, count)
