"""Settings of one daemon: a JSON file that is checked once, at the start."""

import msgspec

from .codec import from_json
from .errors import SettingsError


class ListenerSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Address and limits of an HTTP listener."""

    host: str
    port: int
    threads: int = 64
    max_body_bytes: int = 4_000_000
    max_header_bytes: int = 16_384
    max_prompt_characters: int = 1_000_000
    idle_timeout_s: float = 30.0


class CallerSettings(ListenerSettings, kw_only=True, forbid_unknown_fields=True):
    """The callers' listener; one thread serves each open connection.

    `request_timeout_s` limits the time to receive a whole request, and
    `slow_client_timeout_s` the time for which a caller may accept no part of its
    answer. `default_deadline_s` applies to requests without `X-Deadline-Ms`.
    """

    request_timeout_s: float = 15.0
    slow_client_timeout_s: float = 20.0
    default_deadline_s: float = 600.0
    threads: int = 640


class OperatorSettings(ListenerSettings, kw_only=True, forbid_unknown_fields=True):
    """The operators' listener; `key_digest` is the SHA-256 of the operator key."""

    key_digest: str
    threads: int = 8


class CurveSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """CURVE keys (Z85) for the links between daemons; all share one server key."""

    public_key: str
    secret_key: str


class PeerSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The socket for peers; `addresses` are known before the Instance list answers."""

    host: str
    port: int
    addresses: list[str] = []
    heartbeat_interval_s: float = 0.5
    suspect_after_s: float = 2.0
    drop_after_s: float = 6.0
    curve: CurveSettings | None = None


class PlatformSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Addresses of the platform's services."""

    object_api_url: str
    instance_list_url: str
    call_timeout_s: float = 2.0
    watch_wait_s: float = 20.0
    poll_interval_s: float = 1.0


class ClaimSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """How claims of calls that run at most once are kept."""

    shards: int = 16
    retention_s: float = 86_400.0
    append_interval_s: float = 0.0
    snapshot_after_entries: int = 256


class LogSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Log level and form (`text` or `json`)."""

    level: str = "info"
    form: str = "text"


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """All settings of a daemon."""

    instance: str
    zone: str
    region: str = ""
    callers: CallerSettings
    operators: OperatorSettings
    peers: PeerSettings
    platform: PlatformSettings
    claims: ClaimSettings = msgspec.field(default_factory=ClaimSettings)
    log: LogSettings = msgspec.field(default_factory=LogSettings)
    shutdown_notice_s: float = 2.0
    policy: str = "default"


def parse_settings(data: bytes) -> Settings:
    """Decodes and checks a settings file.

    Raises `SettingsError`, which names the key, what was found and the remedy.
    """
    try:
        return from_json(data, Settings)
    except msgspec.DecodeError as error:
        raise SettingsError(
            key="settings", found=str(error), remedy="Correct the settings file"
        ) from error
