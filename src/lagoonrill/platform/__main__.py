"""Runs a gateway on the platform: `python3 -m lagoonrill.platform`."""

import os
import sys
from pathlib import Path

from .._internal.duties.assembly import DutyBackend
from .._internal.gateway_daemon import (
    EXIT_INVALID_SETTINGS,
    GatewayDaemon,
    RoutingSource,
)
from .._internal.protocol.errors import SettingsError
from .._internal.protocol.gateway_settings import (
    GatewaySettings,
    parse_gateway_settings,
)
from ._duties import open_calls, open_store_duties
from ._headers import READINESS_PATH, VOCABULARY
from ._store import open_sources

SETTINGS_VARIABLE = "LAGOONRILL_CONFIG"
EXIT_START_FAILED = 1


def main() -> int:
    """Reads the settings and serves until shutdown; returns the exit status."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, "/etc/lagoonrill/local.toml"))
    try:
        settings = parse_gateway_settings(path.read_bytes())
    except (SettingsError, OSError) as error:
        print(f"lagoonrill: {path}: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    sources = open_sources(settings.store_address)
    daemon = GatewayDaemon(
        settings=settings,
        settings_path=path,
        header_names=VOCABULARY,
        source=RoutingSource(
            configs=sources.configs,
            endpoints=sources.endpoints,
            findings=sources.findings,
            origins=sources.origins,
            duties=open_duties(settings),
        ),
        readiness_path=READINESS_PATH,
    )
    daemon.install_signal_handlers()
    try:
        daemon.start()
    except OSError as error:
        print(f"lagoonrill: an address cannot be used: {error}", file=sys.stderr)
        return EXIT_START_FAILED
    return daemon.run()


def open_duties(settings: GatewaySettings) -> DutyBackend | None:
    """Returns what duties need of the platform, if the settings ask for any."""
    if settings.duties is None:
        return None
    store = open_store_duties(settings.store_address)
    calls = open_calls(settings.duties.address, settings.instance)
    return DutyBackend(leases=store, reports=store, counts=store, caller=calls)


if __name__ == "__main__":
    sys.exit(main())
