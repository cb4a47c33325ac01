"""Starts the gateway from a source tree, without an installation."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from lagoonrill.platform.__main__ import main  # noqa: E402

sys.exit(main())
