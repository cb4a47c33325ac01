"""Guards against bearer keys and events of several lines in the log."""

import hashlib
import io
import json

import pytest

from lagoonrill._internal import logs
from lagoonrill._internal.protocol.settings import LogSettings

KEY = "sk-tunis-0123456789abcdef"


@pytest.fixture(params=["text", "json"])
def lines(request):
    stream = io.StringIO()
    logs.install(LogSettings(level="info", form=request.param), stream=stream)
    yield lambda: stream.getvalue().splitlines()
    logs.uninstall()
    logs._known_digests.clear()


def test_one_line_with_the_prefix_of_the_component_per_event(lines):
    logger = logs.get_logger("claims")
    logger.debug("below the level")
    logger.info("shard {} has\n{} entries", 3, 7)
    try:
        raise ValueError("bad\nvalue")
    except ValueError:
        logger.exception("append failed")
    assert len(lines()) == 2
    for line in lines():
        if line.startswith("{"):
            assert json.loads(line)["component"] == "claims"
        else:
            assert " claims: " in line
    assert "ValueError" in lines()[1]


def test_bearer_key_never_appears(lines):
    logger = logs.get_logger("callers")
    logger.info("headers {}", {"Authorization": f"Bearer {KEY}"})
    logger.info("headers {}", f"authorization: bearer={KEY}")
    logs.register_key_digests([hashlib.sha256(KEY.encode()).hexdigest()])
    logger.info("unknown key {}", KEY)
    logger.info("query ?key={}&x=1", KEY)
    logger.info("path /keys/{}", KEY)
    logger.info("quoted '{}', in a list [{}].", KEY, KEY)
    try:
        raise ValueError(f"no team for {KEY}")
    except ValueError:
        logger.exception("refused")
    assert len(lines()) == 7
    assert all(KEY not in line for line in lines())
    assert all("[removed]" in line for line in lines())
