"""`lagoonrill schema`: prints the JSON Schema of a document type."""

import sys

from ..protocol.manifest import manifest_schema
from ..protocol.settings import settings_schema
from .exit_status import ExitStatus

SCHEMAS = {"manifest": manifest_schema, "settings": settings_schema}


class SchemaCommand:
    """Prints a schema, identical to the file published under `docs/`."""

    def __init__(self, *, document: str):
        self.document = document

    def run(self) -> ExitStatus:
        """Returns OK."""
        sys.stdout.write(SCHEMAS[self.document]().decode())
        return ExitStatus.OK
