"""The command-line tool `lagoonrill`.

Modules that are slow to import are imported inside functions.
"""

import signal
import sys
from typing import Annotated

import typer

from .commands.exit_status import ExitStatus

DEFAULT_TIMEOUT_S = 60.0
ASK_TIMEOUT_S = 600.0

app = typer.Typer(
    name="lagoonrill",
    help="Applies manifests to a lagoonrill fleet and inspects its daemons.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)

Json = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]
Config = Annotated[
    str | None,
    typer.Option(
        envvar="LAGOONRILL_CONFIG", help="JSON file with addresses and key files."
    ),
]
ObjectApiUrl = Annotated[
    str | None,
    typer.Option("--object-api-url", help="URL of the Object API."),
]
InstanceListUrl = Annotated[
    str | None,
    typer.Option("--instance-list-url", help="URL of the Instance list."),
]
OperatorKeyFile = Annotated[
    str | None,
    typer.Option(help="File with the operator key; else $LAGOONRILL_OPERATOR_KEY."),
]
Address = Annotated[
    str,
    typer.Argument(
        help="Address of the operators' listener, for example 10.0.0.5:9000."
    ),
]
ManifestPath = Annotated[str, typer.Argument(metavar="MANIFEST", help="JSON file.")]


@app.command()
def check(
    manifest: ManifestPath,
    current: Annotated[
        str | None,
        typer.Option(help="Manifest in force, to print the differences from it."),
    ] = None,
    committed: Annotated[
        bool,
        typer.Option("--committed", help="Read the manifest in force from the fleet."),
    ] = False,
    settings: Annotated[
        str | None,
        typer.Option(help="Settings of a daemon, to compare limits with."),
    ] = None,
    config: Config = None,
    object_api_url: ObjectApiUrl = None,
    instance_list_url: InstanceListUrl = None,
    as_json: Json = False,
) -> None:
    """Checks a manifest and prints errors, warnings and differences."""
    from .commands.check import (
        CheckCommand,
        read_committed,
        read_current,
        read_settings,
    )

    if current and committed:
        raise typer.BadParameter("give one of --current and --committed")
    found = None
    if current:
        found = read_current(current)
    elif committed:
        store, _ = open_platform(config, object_api_url, instance_list_url)
        found = read_committed(store)
    run_and_exit(
        CheckCommand(
            path=manifest,
            as_json=as_json,
            current=found,
            settings=read_settings(settings) if settings else None,
        )
    )


@app.command()
def explain(
    logs: Annotated[list[str], typer.Argument(metavar="LOG...", help="Log files.")],
    request: Annotated[str, typer.Option(help="Id of the request to explain.")] = "",
    summary: Annotated[
        bool,
        typer.Option("--summary", help="Count outcomes and causes of all requests."),
    ] = False,
    departures: Annotated[
        bool,
        typer.Option(
            "--departures",
            help="Show requests that were sent to endpoints known to be leaving.",
        ),
    ] = False,
    as_json: Json = False,
) -> None:
    """Explains the outcome of a request from the logs of gateways."""
    from .commands.departures import DeparturesCommand
    from .commands.explain import ExplainCommand

    if [bool(request), summary, departures].count(True) != 1:
        raise typer.BadParameter("give one of --request, --summary and --departures")
    if departures:
        run_and_exit(DeparturesCommand(paths=logs, as_json=as_json))
    run_and_exit(
        ExplainCommand(request=request, paths=logs, summary=summary, as_json=as_json)
    )


@app.command()
def apply(
    manifest: ManifestPath,
    base_generation: Annotated[
        int | None,
        typer.Option(min=0, help="Generation on which the manifest is based."),
    ] = None,
    timeout_s: Annotated[
        float, typer.Option(min=1.0, max=3_600.0, help="Timeout in seconds.")
    ] = DEFAULT_TIMEOUT_S,
    config: Config = None,
    object_api_url: ObjectApiUrl = None,
    instance_list_url: InstanceListUrl = None,
    as_json: Json = False,
) -> None:
    """Applies a manifest to the fleet and reports whether it is in force."""
    from .commands.apply import ApplyCommand
    from .commands.connection import read_file
    from .protocol.manifest import parse_manifest

    document = parse_manifest(read_file(manifest))
    store, instance_list = open_platform(config, object_api_url, instance_list_url)
    run_and_exit(
        ApplyCommand(
            manifest=document,
            store=store,
            instance_list=instance_list,
            base_generation=base_generation,
            timeout_s=timeout_s,
            as_json=as_json,
        )
    )


@app.command()
def status(
    config: Config = None,
    object_api_url: ObjectApiUrl = None,
    instance_list_url: InstanceListUrl = None,
    as_json: Json = False,
) -> None:
    """Prints the committed generation and the generation in force per instance."""
    from .commands.status import StatusCommand

    store, instance_list = open_platform(config, object_api_url, instance_list_url)
    run_and_exit(
        StatusCommand(store=store, instance_list=instance_list, as_json=as_json)
    )


@app.command()
def dump(
    address: Address,
    config: Config = None,
    operator_key_file: OperatorKeyFile = None,
    as_json: Json = False,
) -> None:
    """Prints the state dump of a daemon as JSON, with or without --json."""
    from .commands.operator import DumpCommand

    client = open_operator_client(address, config, operator_key_file)
    run_and_exit(DumpCommand(client=client))


@app.command()
def drain(
    address: Address,
    config: Config = None,
    operator_key_file: OperatorKeyFile = None,
    as_json: Json = False,
) -> None:
    """Starts a graceful shutdown of a daemon."""
    from .commands.operator import DrainCommand

    client = open_operator_client(address, config, operator_key_file)
    run_and_exit(DrainCommand(client=client, as_json=as_json))


@app.command()
def ask(
    prompt: Annotated[
        str, typer.Argument(help="Prompt text, or '-' to read standard input.")
    ],
    model: Annotated[str, typer.Option(help="Name of a model in the manifest.")],
    address: Annotated[
        str | None,
        typer.Option(
            help="Address of the callers' listener, for example 10.0.0.5:8080."
        ),
    ] = None,
    request_class: Annotated[
        str | None,
        typer.Option("--class", help="Request class; defaults to that of the model."),
    ] = None,
    deadline_ms: Annotated[
        int | None,
        typer.Option(min=1, help="Deadline of the request in milliseconds."),
    ] = None,
    idempotency_key: Annotated[
        str | None,
        typer.Option(help="Key with which a retry finds the running request."),
    ] = None,
    stream: Annotated[
        bool, typer.Option("--stream/--whole", help="Print the response as it arrives.")
    ] = True,
    timeout_s: Annotated[
        float, typer.Option(min=0.1, help="Read timeout in seconds.")
    ] = ASK_TIMEOUT_S,
    team_key_file: Annotated[
        str | None,
        typer.Option(help="File with the team's key; else $LAGOONRILL_TEAM_KEY."),
    ] = None,
    config: Config = None,
    as_json: Json = False,
) -> None:
    """Sends a chat request and prints the response as it arrives."""
    from .commands import connection
    from .commands.ask import AskCommand
    from .commands.http import DaemonClient
    from .commands.output import CommandError

    options = {"team_key_file": team_key_file}
    settings = connection.load_tool_settings(config, options)
    url = address or settings.callers_url
    if url is None:
        message = "callers_url is missing. Give --address or set it in --config"
        raise CommandError(status=ExitStatus.USAGE, message=message)
    key = connection.read_key(settings.team_key_file, connection.TEAM_KEY_VARIABLE)
    headers = {
        "X-Request-Class": request_class,
        "X-Deadline-Ms": str(deadline_ms) if deadline_ms else None,
        "Idempotency-Key": idempotency_key,
    }
    run_and_exit(
        AskCommand(
            client=DaemonClient(address=url, key=key, timeout_s=timeout_s),
            model=model,
            prompt=sys.stdin.read() if prompt == "-" else prompt,
            headers={name: value for name, value in headers.items() if value},
            stream=stream,
            as_json=as_json,
        )
    )


@app.command()
def schema(
    document: Annotated[str, typer.Argument(help="'manifest' or 'settings'.")],
) -> None:
    """Prints the JSON Schema of the manifest or of the daemon settings."""
    from .commands.schema import SCHEMAS, SchemaCommand

    if document not in SCHEMAS:
        raise typer.BadParameter(f"{document!r}; use 'manifest' or 'settings'")
    run_and_exit(SchemaCommand(document=document))


def open_platform(
    config: str | None, object_api_url: str | None, instance_list_url: str | None
):
    """Returns clients for the Object API and the Instance list."""
    from .commands import connection

    options = {
        "object_api_url": object_api_url,
        "instance_list_url": instance_list_url,
    }
    settings = connection.load_tool_settings(config, options)
    platform = connection.platform_settings(settings)
    return connection.open_store(platform), connection.open_instance_list(platform)


def open_operator_client(address: str, config: str | None, key_file: str | None):
    """Returns a client for the operators' listener of a daemon."""
    from .commands import connection
    from .commands.http import DaemonClient

    options = {"operator_key_file": key_file}
    settings = connection.load_tool_settings(config, options)
    variable = connection.OPERATOR_KEY_VARIABLE
    key = connection.read_key(settings.operator_key_file, variable)
    timeout_s = settings.call_timeout_s
    return DaemonClient(address=address, key=key, timeout_s=timeout_s)


def run_and_exit(command) -> None:
    """Runs a command and exits with its exit status."""
    raise typer.Exit(int(command.run()))


def main() -> None:
    """Runs the tool; prints a message and exits with a status on errors."""
    from .commands.output import CommandError, print_error
    from .protocol.errors import ConfigError

    # Handles SIGTERM like Ctrl-C, so that `apply` in a cancelled pipeline withdraws its
    # proposal.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        app(prog_name="lagoonrill")
    except CommandError as error:
        print_error(f"lagoonrill: {error.message}")
        sys.exit(error.status)
    except ConfigError as error:
        print_error(str(error))
        sys.exit(ExitStatus.USAGE)
    except KeyboardInterrupt:
        sys.exit(ExitStatus.INTERRUPTED)
