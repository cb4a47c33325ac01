"""Settings of one daemon: a JSON file that is checked once, at startup."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from .checks import (
    Bytes,
    Count,
    CurveKey,
    Digest,
    HttpUrl,
    IpAddress,
    Name,
    PeerAddress,
    Port,
    Problem,
    Seconds,
    SecondsOrZero,
    check_ip_address,
    check_peer_address,
    check_unique,
    check_url,
    decode_document,
    json_schema,
    raise_problems,
)
from .errors import SettingsError

Threads = Annotated[
    int, Meta(ge=1, le=10_000, description="a number of threads, 1 to 10000")
]
Shards = Annotated[
    int, Meta(ge=1, le=1_024, description="a number of shards, 1 to 1024")
]
LogLevel = Literal["debug", "info", "notice", "warning", "error", "critical"]


class ListenerSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Address and limits of an HTTP listener."""

    host: IpAddress
    port: Port
    threads: Threads = 64
    max_body_bytes: Bytes = 4_000_000
    max_header_bytes: Bytes = 16_384
    max_prompt_characters: Bytes = 1_000_000
    idle_timeout_s: Seconds = 30.0


class CallerSettings(ListenerSettings, kw_only=True, forbid_unknown_fields=True):
    """The callers' listener; one thread serves each open connection.

    `request_timeout_s` limits the time to receive a complete request, and
    `slow_client_timeout_s` the time for which a caller may read no part of its
    response. `default_deadline_s` applies to requests without `X-Deadline-Ms`.
    """

    request_timeout_s: Seconds = 15.0
    slow_client_timeout_s: Seconds = 20.0
    default_deadline_s: Seconds = 600.0
    threads: Threads = 640


class OperatorSettings(ListenerSettings, kw_only=True, forbid_unknown_fields=True):
    """The operators' listener; `key_digest` is the SHA-256 of the operator key."""

    key_digest: Digest
    threads: Threads = 8


class CurveSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """CURVE keys (Z85) for the links between daemons; all share one server key."""

    public_key: CurveKey
    secret_key: CurveKey


class PeerSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The socket for peers; `addresses` are used before the Instance list answers.

    `advertised_address` is what peers connect to, if it differs from host and port.
    """

    host: IpAddress
    port: Port
    addresses: list[PeerAddress] = []
    advertised_address: PeerAddress | None = None
    heartbeat_interval_s: Seconds = 0.5
    suspect_after_s: Seconds = 2.0
    drop_after_s: Seconds = 6.0
    curve: CurveSettings | None = None


class PlatformSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Addresses of the platform's services."""

    object_api_url: HttpUrl
    instance_list_url: HttpUrl
    call_timeout_s: Seconds = 2.0
    watch_wait_s: Seconds = 20.0
    poll_interval_s: Seconds = 1.0


class ClaimSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the claim log for calls that run at most once."""

    shards: Shards = 16
    retention_s: Annotated[
        float,
        Meta(ge=60, le=2_678_400, description="seconds, 60 to 2678400 (31 days)"),
    ] = 86_400.0
    append_interval_s: SecondsOrZero = 0.0
    snapshot_after_entries: Count = 256


class LogSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Log level and format (`text` or `json`)."""

    level: LogLevel = "info"
    form: Literal["text", "json"] = "text"


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """All settings of a daemon."""

    instance: Name
    zone: Name
    region: Annotated[str, Meta(max_length=63)] = ""
    callers: CallerSettings
    operators: OperatorSettings
    peers: PeerSettings
    platform: PlatformSettings
    claims: ClaimSettings = msgspec.field(default_factory=ClaimSettings)
    log: LogSettings = msgspec.field(default_factory=LogSettings)
    shutdown_notice_s: SecondsOrZero = 2.0
    policy: Name = "default"


def parse_settings(data: bytes) -> Settings:
    """Decodes and checks a settings file.

    Raises `SettingsError` with the key, the value found and the remedy. Its attribute
    `errors` contains one `SettingsError` per problem, and its message one line per
    problem.
    """
    problems: list[Problem] = []
    settings = decode_document(data, Settings, problems)
    if settings is not None:
        problems = find_problems(settings)
    raise_problems(problems, SettingsError)
    return settings


def find_problems(settings: Settings) -> list[Problem]:
    """Returns invalid addresses, port conflicts and inconsistent timeouts."""
    problems: list[Problem] = []
    _check_addresses(settings, problems)
    _check_ports(settings, problems)
    _check_timeouts(settings, problems)
    curve = settings.peers.curve
    if curve is not None and curve.public_key == curve.secret_key:
        problems.append(
            Problem(
                key="peers.curve.public_key",
                found="the same key as secret_key (not shown)",
                remedy="Give both keys of one CURVE key pair",
            )
        )
    return problems


def settings_schema() -> bytes:
    """Returns the published JSON Schema of the settings."""
    return json_schema(Settings, "lagoonrill daemon settings")


def _check_addresses(settings: Settings, problems: list[Problem]) -> None:
    for field in ("callers", "operators"):
        host = getattr(settings, field).host
        check_ip_address(f"{field}.host", host, problems, allow_any=True)
    # Without an advertised address, peers connect to this host, which then must not be
    # the unspecified address.
    advertised = settings.peers.advertised_address
    has_other = advertised is not None
    host = settings.peers.host
    check_ip_address("peers.host", host, problems, allow_any=has_other)
    if advertised is not None:
        check_peer_address("peers.advertised_address", advertised, problems)
    for field in ("object_api_url", "instance_list_url"):
        check_url(f"platform.{field}", getattr(settings.platform, field), problems)
    addresses = [
        (f"peers.addresses[{index}]", address)
        for index, address in enumerate(settings.peers.addresses)
    ]
    for key, address in addresses:
        check_peer_address(key, address, problems)
    check_unique(addresses, "address", problems)


def _check_ports(settings: Settings, problems: list[Problem]) -> None:
    any_address = ("0.0.0.0", "::")
    names = ("callers", "operators", "peers")
    for index, name in enumerate(names):
        section = getattr(settings, name)
        for other_name in names[:index]:
            other = getattr(settings, other_name)
            hosts = (section.host, other.host)
            overlap = hosts[0] == hosts[1] or any(host in any_address for host in hosts)
            if section.port and section.port == other.port and overlap:
                found = f"{section.port}, which {other_name}.port also uses"
                problems.append(
                    Problem(
                        key=f"{name}.port",
                        found=found,
                        remedy="Give each listener its own port",
                    )
                )


def _check_timeouts(settings: Settings, problems: list[Problem]) -> None:
    peers = settings.peers
    _check_above(
        problems,
        key="peers.suspect_after_s",
        value=peers.suspect_after_s,
        other_key="peers.heartbeat_interval_s",
        other=peers.heartbeat_interval_s,
    )
    _check_above(
        problems,
        key="peers.drop_after_s",
        value=peers.drop_after_s,
        other_key="peers.suspect_after_s",
        other=peers.suspect_after_s,
    )
    _check_above(
        problems,
        key="platform.call_timeout_s",
        value=settings.platform.call_timeout_s,
        other_key="claims.append_interval_s",
        other=settings.claims.append_interval_s,
    )


def _check_above(
    problems: list[Problem], *, key: str, value: float, other_key: str, other: float
) -> None:
    if value <= other:
        problems.append(
            Problem(
                key=key,
                found=f"{value}, not above {other_key} ({other})",
                remedy=f"Make it longer than {other_key}",
            )
        )
