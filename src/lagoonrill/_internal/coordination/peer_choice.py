"""Selects the peers to which an instance keeps links."""

from ..state.rendezvous import highest

FULL_MESH_LIMIT = 8
# A link exists if either side picks the other, so each side picks half of the wanted 8
# links in its own zone and 2 links per other zone.
OWN_ZONE_PICKS = 4
OTHER_ZONE_PICKS = 1
# Factor for the heartbeat and poll intervals in fleets above the full-mesh limit. At an
# interval of 0.5 s, each of 390 daemons spent 3.5% of a core on them; the budget for
# all control work is 2%.
LARGE_FLEET_SLOWDOWN = 2


def is_full_mesh(member_count: int) -> bool:
    """Returns whether a fleet of this size, including this instance, is a full mesh."""
    return member_count <= FULL_MESH_LIMIT


def choose_links(instance: str, zone: str, members: dict[str, str]) -> set[str]:
    """Returns the peers to link; `members` maps all instances to their zones.

    Both sides of a pair make the same choice if they know the same members.

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
    # The weight is symmetric, so most picks are mutual: 15.7 links per instance on
    # average instead of 22.
    others = [name for name in candidates if name != instance]
    return highest(instance, others, count)
