"""Fixtures shared by several test modules."""

import pytest

from standins.scripted_endpoint import ScriptedEndpoint
from tests.gateway_kit import Gateway


@pytest.fixture
def gateway_for():
    """Returns a function that starts a gateway with a scripted endpoint per script."""
    opened = []

    def build(service: str, *scripts: list[str], **options):
        endpoints = [
            ScriptedEndpoint(id=f"e{number}", script=script)
            for number, script in enumerate(scripts)
        ]
        gateway = Gateway({service: endpoints}, **options).start()
        opened.append((gateway, endpoints))
        return gateway, endpoints

    yield build
    for gateway, endpoints in opened:
        gateway.listener.close()
        gateway.origins.stop()
        for endpoint in endpoints:
            endpoint.close()
