"""Shares of each endpoint's slots between the instances (design, section 5.4)."""

import hashlib
import threading
from collections.abc import Iterable

import msgspec

from ..protocol.manifest import Endpoint
from ..protocol.messages import EndpointUse


class SlotShare(msgspec.Struct, kw_only=True):
    """The share of one endpoint's slots, and what may be borrowed above it."""

    endpoint: str
    slots: int
    base: int
    borrowable: int

    @property
    def limit(self) -> int:
        return self.base + self.borrowable


class SlotSharesDump(msgspec.Struct, kw_only=True):
    """State dump of the slot shares."""

    members: list[str]
    shares: list[SlotShare]


def base_shares(endpoint_id: str, slots: int, members: Iterable[str]) -> dict[str, int]:
    """Divides slots evenly; the remainder goes by rendezvous hash.

    All instances that see the same members compute the same division:

    >>> shares = base_shares("e1", 7, ["a", "b", "c"])
    >>> sorted(shares.values()), shares == base_shares("e1", 7, ["c", "b", "a"])
    ([2, 2, 3], True)
    """
    ranked = sorted(members, key=lambda member: _rank(endpoint_id, member))
    each, remainder = divmod(slots, len(ranked))
    return {
        member: each + (position < remainder) for position, member in enumerate(ranked)
    }


def _rank(endpoint_id: str, member: str) -> bytes:
    text = f"{endpoint_id}|{member}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class SlotShares:
    """How many slots of each endpoint this instance may use now.

    Above its base share an instance borrows slots that the last heartbeats of its peers
    show as unused and not waited for. Slots that other borrowers already use are not
    offered again. Borrowers that wait divide what is unused, which keeps most overlaps
    out; the remaining ones last one heartbeat interval and the engine absorbs them.
    """

    def __init__(self, *, instance: str):
        self.instance = instance
        self.lock = threading.Lock()
        self.slots: dict[str, int] = {}
        self.uses: dict[str, dict[str, EndpointUse]] = {}
        self.shares: dict[str, SlotShare] = {}

    def apply_endpoints(self, endpoints: list[Endpoint]) -> None:
        with self.lock:
            self.slots = {endpoint.id: endpoint.slots for endpoint in endpoints}
            self._recompute()

    def update_peers(self, uses: dict[str, list[EndpointUse]]) -> None:
        """Takes the uses of all live peers; a peer left out has lost its share."""
        with self.lock:
            self.uses = {
                peer: {use.endpoint: use for use in peer_uses}
                for peer, peer_uses in uses.items()
                if peer != self.instance
            }
            self._recompute()

    def limit(self, endpoint_id: str) -> int:
        """Returns how many slots this instance may have in use at once."""
        with self.lock:
            share = self.shares.get(endpoint_id)
            return share.limit if share else 0

    def limits(self) -> dict[str, int]:
        with self.lock:
            return {name: share.limit for name, share in self.shares.items()}

    def base(self, endpoint_id: str) -> int:
        with self.lock:
            share = self.shares.get(endpoint_id)
            return share.base if share else 0

    def dump(self) -> SlotSharesDump:
        with self.lock:
            members = sorted([self.instance, *self.uses])
            return SlotSharesDump(members=members, shares=list(self.shares.values()))

    def _recompute(self) -> None:
        self.shares = {
            endpoint_id: self._share(endpoint_id, slots)
            for endpoint_id, slots in self.slots.items()
        }

    def _share(self, endpoint_id: str, slots: int) -> SlotShare:
        bases = base_shares(endpoint_id, slots, [self.instance, *self.uses])
        return SlotShare(
            endpoint=endpoint_id,
            slots=slots,
            base=bases[self.instance],
            borrowable=self._borrowable(endpoint_id, bases),
        )

    def _borrowable(self, endpoint_id: str, bases: dict[str, int]) -> int:
        unused = 0
        borrowed = 0
        borrowers = [self.instance]
        for peer, peer_uses in self.uses.items():
            use = peer_uses.get(endpoint_id)
            in_use = use.in_use if use else 0
            waiting = use.waiting if use else 0
            borrowed += max(0, in_use - bases[peer])
            if waiting and in_use >= bases[peer]:
                borrowers.append(peer)
            elif not waiting:
                unused += max(0, bases[peer] - in_use)
        allotted = base_shares(f"borrow:{endpoint_id}", unused, borrowers)
        return min(allotted[self.instance], max(0, unused - borrowed))
