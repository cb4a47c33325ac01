"""Serves `GET /<endpoint>/load` for any number of endpoints on one port."""

from lagoonrill._internal.protocol.load import LoadReport
from standins.server import StandIn, argument_parser, json_response, run


class NoFaults(LoadReport):
    """This server has no faults to set."""


def main() -> None:
    """Serves until it is terminated."""
    arguments = argument_parser(__doc__).parse_args()
    stand_in = StandIn(faults=NoFaults(), threads=32)
    report = LoadReport(running=3, waiting=1, slots=8, models=["atelier"], age_s=0.2)
    stand_in.add_route("GET", r"/[^/]+/load", lambda _: json_response(report))
    run(stand_in, host=arguments.host, port=arguments.port)


if __name__ == "__main__":
    main()
