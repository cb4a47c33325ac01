"""Command-line interface of the daemon `lagoonrilld`."""

import sys
from pathlib import Path
from typing import Annotated

import typer

EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 1

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def serve(
    settings: Annotated[Path, typer.Option(help="JSON file with the settings")],
) -> None:
    """Runs one instance of the router.

    Prints `ready CALLERS OPERATORS PEERS` with the bound ports once all sockets listen.
    SIGTERM starts a graceful shutdown. Exit status: 0 after a graceful shutdown, 1 if
    startup or shutdown failed, 2 if the settings are invalid.
    """
    from . import logs
    from .daemon import Daemon
    from .protocol.errors import SettingsError
    from .protocol.settings import parse_settings

    try:
        parsed = parse_settings(settings.read_bytes())
    except (SettingsError, OSError) as error:
        print(f"lagoonrilld: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
    logs.install(parsed.log)
    logs.register_key_digests([parsed.operators.key_digest])
    # Hundreds of threads relay tokens. With the default of 5 ms, a busy thread delays
    # the first tokens of the other threads by many times that.
    sys.setswitchinterval(0.0005)
    daemon = Daemon(settings=parsed)
    daemon.shutdown.install_signal_handler()
    try:
        ports = daemon.start()
    except OSError as error:
        print(f"lagoonrilld: cannot bind to an address: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_START_FAILED) from error
    print(f"ready {ports.callers} {ports.operators} {ports.peers}", flush=True)
    raise typer.Exit(daemon.run())


def main() -> None:
    """Runs the console script."""
    app()
