"""Run the gateway from a checkout, without an installation."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent / "src"))

from wagtailstair.gateway.daemon import main

if __name__ == "__main__":
    sys.exit(main())
