"""A router for pipelines over mixed accelerators."""

from .clock import Clock as Clock
from .clock import SystemClock as SystemClock
from .exceptions import Outcome as Outcome
from .exceptions import WagtailstairError as WagtailstairError

__version__ = "0.1.0"
