"""The operators' command-line tool."""

from .main import main as main
