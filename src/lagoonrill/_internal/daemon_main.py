"""The command `lagoonrilld`."""

import sys
from pathlib import Path
from typing import Annotated

import typer

SETTINGS_REFUSED = 2
START_FAILED = 1

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def serve(
    settings: Annotated[Path, typer.Option(help="JSON file with the settings")],
) -> None:
    """Runs one instance of the router.

    Once all sockets listen, it prints `ready CALLERS OPERATORS PEERS` with the ports.
    SIGTERM starts a planned shutdown. Exit status: 0 after a planned shutdown, 1 if the
    start or the shutdown failed, 2 if the settings were refused.
    """
    from . import logs
    from .daemon import Daemon
    from .protocol.errors import SettingsError
    from .protocol.settings import parse_settings

    try:
        parsed = parse_settings(settings.read_bytes())
    except (SettingsError, OSError) as error:
        print(f"lagoonrilld: {error}", file=sys.stderr)
        raise typer.Exit(SETTINGS_REFUSED) from error
    logs.install(parsed.log)
    # Hundreds of threads relay tokens; the default of 5 ms lets one of them delay the
    # others' first tokens by many times that.
    sys.setswitchinterval(0.0005)
    daemon = Daemon(settings=parsed)
    daemon.shutdown.install_signal_handler()
    try:
        ports = daemon.start()
    except OSError as error:
        print(f"lagoonrilld: an address cannot be used: {error}", file=sys.stderr)
        raise typer.Exit(START_FAILED) from error
    print(f"ready {ports.callers} {ports.operators} {ports.peers}", flush=True)
    raise typer.Exit(daemon.run())


def main() -> None:
    """Entry point of the console script."""
    app()
