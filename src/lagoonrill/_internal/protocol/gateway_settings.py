"""Settings of a gateway: a JSON file that is checked at startup and on reload."""

import msgspec

from .checks import (
    Count,
    Milliseconds,
    Problem,
    Seconds,
    decode_document,
    raise_problems,
)
from .errors import SettingsError

ADDRESS_REMEDY = "Write HOST:PORT with an IPv4 address, for example 10.1.0.19:8740"


USAGE_REPORT = "usage_report"
AUTOSCALE = "autoscale"


def set_defaults(settings: msgspec.Struct) -> None:
    """Sets fields that are null to their defaults.

    A template renders a field as null if a deployment does not have it.
    """
    for field in msgspec.structs.fields(settings):
        if getattr(settings, field.name) is None:
            setattr(settings, field.name, field.default)


class DutySettings(msgspec.Struct, kw_only=True):
    """Calls to the platform that one instance makes for all."""

    # Address of the platform's API, as HOST:PORT.
    address: str
    # Known names: `usage_report` and `autoscale`.
    names: tuple[str, ...] | None = ()
    # Calls that the platform takes per second from all instances together.
    calls_per_s: float | None = 50.0

    def __post_init__(self):
        set_defaults(self)


class GatewayBounds(msgspec.Struct, kw_only=True):
    """Time limits and budgets set by the operator of the fleet."""

    # Time after which the platform kills a process that is shutting down.
    grace_s: Seconds = 8.0
    # Retry budget of the fleet: within any window, this share of a service's requests
    # plus a fixed number.
    retry_ratio: float = 0.1
    retry_window_s: Seconds = 10.0
    retry_fixed: float = 10.0
    # Time for which a draining endpoint may still receive requests.
    drain_ms: Milliseconds = 2_000
    # Time after which a confirmed configuration must be in force.
    config_apply_ms: Milliseconds = 2_000
    # Time after an instance regains contact with the store until all time limits apply
    # to it again.
    contact_ms: Milliseconds = 3_000
    # Whether the platform checks fencing tokens. The lease is held in any case.
    require_fencing: bool | None = False
    # Time after which an instance that does not renew its lease has lost it.
    lease_ms: Milliseconds | None = 3_000
    # Length of the windows of usage reports, the time after the end of a window until
    # which its report is due, and the share by which counts may differ from the truth.
    report_window_s: Seconds | None = 5.0
    usage_late_s: Seconds | None = 10.0
    usage_tolerance: float | None = 0.05

    def __post_init__(self):
        set_defaults(self)


class MemorySettings(msgspec.Struct, kw_only=True):
    """Division of `memory_mb`; shares are of what the process itself does not need.

    A floor is kept free for its part: memory that the other parts cannot take.
    """

    # Memory in MB that the process takes without callers.
    process_mb: int = 48
    connection_floor: float = 0.15
    connection_limit: float = 0.6
    small_body_floor: float = 0.1
    body_floor: float = 0.2
    answer_floor: float = 0.2
    answer_limit: float = 0.4
    # Time that a body waits for memory before it is refused with 503.
    room_wait_s: Seconds = 2.0

    def shares(self) -> dict[str, float]:
        """Returns the shares by the names of their settings.

        >>> MemorySettings().shares()["answer_limit"]
        0.4
        """
        values = msgspec.structs.asdict(self)
        return {
            name: value
            for name, value in values.items()
            if name.endswith(("_floor", "_limit"))
        }


class GatewaySettings(msgspec.Struct, kw_only=True):
    """Settings of one gateway; addresses are HOST:PORT."""

    instance: str
    zone: str
    callers_address: str
    readiness_address: str
    peer_address: str
    store_address: str
    seeds: list[str] = []
    max_descriptors: int = 4_096
    memory_mb: int = 256
    # Writes that the store takes from all instances together.
    store_writes_per_s: Count = 100
    memory: MemorySettings = msgspec.field(default_factory=MemorySettings)
    bounds: GatewayBounds = msgspec.field(default_factory=GatewayBounds)
    # None if the platform has no such calls.
    duties: DutySettings | None = None


def parse_gateway_settings(data: bytes) -> GatewaySettings:
    """Decodes and checks settings; raises `SettingsError` with all problems found."""
    problems: list[Problem] = []
    settings = decode_document(data, GatewaySettings, problems)
    if settings is not None:
        addresses = {
            "callers_address": settings.callers_address,
            "readiness_address": settings.readiness_address,
            "peer_address": settings.peer_address,
            "store_address": settings.store_address,
        }
        addresses |= {f"seeds.{n}": seed for n, seed in enumerate(settings.seeds)}
        if settings.duties is not None:
            addresses["duties.address"] = settings.duties.address
        for key, value in addresses.items():
            _check_address(key, value, problems)
        _check_memory(settings.memory, problems)
    raise_problems(problems, SettingsError)
    return settings


def _check_address(key: str, value: str, problems: list[Problem]) -> None:
    host, _, port = value.rpartition(":")
    if not (host and port.isdigit() and 0 < int(port) < 65_536):
        problems.append(Problem(key=key, found=f"{value!r}", remedy=ADDRESS_REMEDY))


def _check_memory(memory: MemorySettings, problems: list[Problem]) -> None:
    shares = memory.shares()
    for name, value in shares.items():
        if not 0.0 <= value <= 1.0:
            problems.append(
                Problem(
                    key=f"memory.{name}",
                    found=str(value),
                    remedy="Write a share between 0 and 1.",
                )
            )
    floors = sum(value for name, value in shares.items() if name.endswith("_floor"))
    if floors > 1.0:
        problems.append(
            Problem(
                key="memory",
                found=f"floors of {floors:.2f} together",
                remedy="Lower the floors until their sum is at most 1.",
            )
        )
