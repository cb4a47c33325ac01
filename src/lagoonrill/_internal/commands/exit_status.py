"""Exit statuses of the command-line tool; `docs/cli.md` documents them."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit statuses that scripts can rely on."""

    OK = 0
    USAGE = 2
    PENDING = 3
    LOST_RACE = 4
    REFUSED = 5
    UNREACHABLE = 6
    NOT_RUN = 7
    OUTCOME_UNKNOWN = 8
    UNAUTHORIZED = 9
    WARNING = 10
    DIFFERENT = 11
    INTERRUPTED = 130
