"""Reads addresses and keys from options, a JSON file and environment variables.

Keys are read from a file or an environment variable. They are not accepted on the
command line, where other users of the machine could see them.
"""

import os
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from ..protocol.checks import (
    HttpUrl,
    Problem,
    Seconds,
    check_url,
    decode_document,
    raise_problems,
)
from ..protocol.errors import SettingsError
from ..protocol.settings import PlatformSettings
from .exit_status import ExitStatus
from .output import CommandError

CONFIG_VARIABLE = "LAGOONRILL_CONFIG"
OPERATOR_KEY_VARIABLE = "LAGOONRILL_OPERATOR_KEY"
TEAM_KEY_VARIABLE = "LAGOONRILL_TEAM_KEY"
KeyPath = Annotated[str, Meta(min_length=1, description="path of a file with one key")]


class ToolSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings in the JSON file; command-line options take precedence."""

    object_api_url: HttpUrl | None = None
    instance_list_url: HttpUrl | None = None
    callers_url: HttpUrl | None = None
    operator_key_file: KeyPath | None = None
    team_key_file: KeyPath | None = None
    call_timeout_s: Seconds = 2.0


def load_tool_settings(path: str | None, options: dict[str, str | None]):
    """Reads the JSON file, if any, and applies the given options to it."""
    settings = ToolSettings()
    problems: list[Problem] = []
    if path:
        data = read_file(path)
        decoded = decode_document(data, ToolSettings, problems)
        raise_problems(problems, SettingsError)
        settings = decoded
    given = {name: value for name, value in options.items() if value is not None}
    settings = msgspec.structs.replace(settings, **given)
    for name in ("object_api_url", "instance_list_url", "callers_url"):
        url = getattr(settings, name)
        if url is not None and not url.startswith("http://"):
            remedy = "Use a URL such as http://10.0.0.5:8080"
            problems.append(Problem(key=name, found=repr(url), remedy=remedy))
        elif url is not None:
            check_url(name, url, problems)
    raise_problems(problems, SettingsError)
    return settings


def read_file(path: str) -> bytes:
    """Reads an input file; an unreadable file is a usage error."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        message = f"cannot read {path}: {error.strerror}. Check the path"
        raise CommandError(status=ExitStatus.USAGE, message=message) from error


def platform_settings(settings: ToolSettings) -> PlatformSettings:
    """Returns the addresses of the platform; a missing one is a usage error."""
    for name in ("object_api_url", "instance_list_url"):
        if getattr(settings, name) is None:
            option = "--" + name.replace("_", "-")
            message = f"{name} is missing. Give {option} or set it in the --config file"
            raise CommandError(status=ExitStatus.USAGE, message=message)
    return PlatformSettings(
        object_api_url=settings.object_api_url,
        instance_list_url=settings.instance_list_url,
        call_timeout_s=settings.call_timeout_s,
    )


def open_store(settings: PlatformSettings):
    """Returns a client for the Object API."""
    from ..transport.object_api import ObjectApi

    return ObjectApi(settings=settings)


def open_instance_list(settings: PlatformSettings):
    """Returns a client for the Instance list."""
    from ..transport.instance_list import InstanceList

    return InstanceList(settings=settings)


def read_key(path: str | None, variable: str) -> str:
    """Returns the key from the file, or from the environment variable if not given."""
    source = path or f"${variable}"
    if path:
        text = read_file(path).decode("utf-8", errors="replace")
    else:
        text = os.environ.get(variable, "")
    key = text.strip()
    if not key:
        message = f"no key in {source}. Set {variable} or give a key file"
        raise CommandError(status=ExitStatus.USAGE, message=message)
    if not (key.isascii() and key.isprintable()) or " " in key:
        message = (
            f"the key in {source} contains a space, control or non-ASCII character"
        )
        raise CommandError(status=ExitStatus.USAGE, message=message)
    return key
