"""Division of each endpoint's slots between the instances (design, section 5.4)."""

import hashlib
import heapq
import threading
from collections.abc import Collection

import msgspec

from ..protocol.manifest import Endpoint
from ..protocol.messages import EndpointUse


class SlotShare(msgspec.Struct, kw_only=True):
    """This instance's share of an endpoint's slots and the slots it may borrow."""

    endpoint: str
    slots: int
    base: int
    borrowable: int
    peers_in_use: int

    def surplus(self, in_use: int) -> int:
        """Returns how many borrowed slots to release to end an overcommitment."""
        overshoot = in_use + self.peers_in_use - self.slots
        return max(0, min(in_use - self.base, overshoot))

    @property
    def limit(self) -> int:
        return self.base + self.borrowable


class SlotSharesDump(msgspec.Struct, kw_only=True):
    """State dump of the slot shares."""

    members: list[str]
    shares: list[SlotShare]


class Division:
    """Even division of slots; rendezvous hashing distributes the remainder.

    All instances that see the same members compute the same division:

    >>> division = Division(endpoint_id="e1", slots=7, members=["a", "b", "c"])
    >>> shares = [division.base(member) for member in "abc"]
    >>> sorted(shares)
    [2, 2, 3]
    >>> other = Division(endpoint_id="e1", slots=7, members=["c", "b", "a"])
    >>> shares == [other.base(member) for member in "abc"]
    True
    """

    __slots__ = ("endpoint_id", "slots", "quotient", "remainder_members")

    def __init__(self, *, endpoint_id: str, slots: int, members: Collection[str]):
        self.endpoint_id = endpoint_id
        self.slots = slots
        self.quotient, remainder = divmod(slots, len(members))
        ranked = heapq.nsmallest(remainder, members, key=self._rank)
        self.remainder_members = frozenset(ranked)

    def _rank(self, member: str) -> bytes:
        text = f"{self.endpoint_id}|{member}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    def base(self, member: str) -> int:
        return self.quotient + (member in self.remainder_members)


class SlotShares:
    """Computes how many slots of each endpoint this instance may use.

    Above its base share an instance may borrow slots that are unused and have no
    waiting requests according to its peers' latest heartbeats, except those that other
    instances already borrow. Borrowers with waiting requests divide the unused slots,
    which avoids most overcommitment. The rest lasts one heartbeat interval, and its
    requests queue in the engine.
    """

    def __init__(self, *, instance: str):
        self.instance = instance
        self.lock = threading.Lock()
        self.slots: dict[str, int] = {}
        self.uses: dict[str, list[EndpointUse]] = {}
        self.members: set[str] = set()
        self.divisions: dict[str, Division] = {}
        self.shares: dict[str, SlotShare] = {}

    def apply_endpoints(self, endpoints: list[Endpoint]) -> None:
        with self.lock:
            self.slots = {endpoint.id: endpoint.slots for endpoint in endpoints}
            self._recompute()

    def update_peers(self, uses: dict[str, list[EndpointUse]]) -> None:
        """Replaces the usage of all live peers; a peer left out loses its share."""
        with self.lock:
            self.uses = {
                peer: peer_uses
                for peer, peer_uses in uses.items()
                if peer != self.instance
            }
            self._recompute()

    def limit(self, endpoint_id: str) -> int:
        """Returns how many slots this instance may use at once."""
        with self.lock:
            share = self.shares.get(endpoint_id)
            return share.limit if share else 0

    def limits(self) -> dict[str, int]:
        with self.lock:
            return {name: share.limit for name, share in self.shares.items()}

    def surpluses(self, in_use: dict[str, int]) -> dict[str, int]:
        """Returns the number of slots to return, by endpoint, where it is not zero."""
        with self.lock:
            found = {
                name: self.shares[name].surplus(used)
                for name, used in in_use.items()
                if used and name in self.shares
            }
        return {name: surplus for name, surplus in found.items() if surplus}

    def base(self, endpoint_id: str) -> int:
        with self.lock:
            share = self.shares.get(endpoint_id)
            return share.base if share else 0

    def dump(self) -> SlotSharesDump:
        with self.lock:
            members = sorted([self.instance, *self.uses])
            return SlotSharesDump(members=members, shares=list(self.shares.values()))

    def _recompute(self) -> None:
        members = [self.instance, *self.uses]
        if self.members != set(members):
            self.members = set(members)
            self.divisions.clear()
        uses = self._uses_by_endpoint()
        self.shares = {
            endpoint_id: self._share(endpoint_id, slots, uses.get(endpoint_id, {}))
            for endpoint_id, slots in self.slots.items()
        }

    def _uses_by_endpoint(self) -> dict[str, dict[str, EndpointUse]]:
        uses: dict[str, dict[str, EndpointUse]] = {}
        for peer, peer_uses in self.uses.items():
            for use in peer_uses:
                uses.setdefault(use.endpoint, {})[peer] = use
        return uses

    def _share(
        self, endpoint_id: str, slots: int, uses: dict[str, EndpointUse]
    ) -> SlotShare:
        division = self.divisions.get(endpoint_id)
        if division is None or division.slots != slots:
            division = Division(
                endpoint_id=endpoint_id, slots=slots, members=self.members
            )
            self.divisions[endpoint_id] = division
        return SlotShare(
            endpoint=endpoint_id,
            slots=slots,
            base=division.base(self.instance),
            borrowable=self._borrowable(division, uses),
            peers_in_use=sum(use.in_use for use in uses.values()),
        )

    def _borrowable(self, division: Division, uses: dict[str, EndpointUse]) -> int:
        # Peers without an entry use no slots.
        unused = division.slots - division.base(self.instance)
        borrowed = 0
        borrowers = [self.instance]
        for peer, use in uses.items():
            base = division.base(peer)
            borrowed += max(0, use.in_use - base)
            unused -= base if use.waiting else min(base, use.in_use)
            if use.waiting and use.in_use >= base:
                borrowers.append(peer)
        offered = unused - borrowed
        if offered <= 0:
            return 0
        allotted = Division(
            endpoint_id=f"borrow:{division.endpoint_id}",
            slots=unused,
            members=borrowers,
        )
        return min(allotted.base(self.instance), offered)
