#!/bin/sh
# Checks that the stand-ins of cases 11 to 15 can be loaded. They are Python modules of
# the standard library's parts alone, so there is nothing else to build.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import crowd3, replica3, rig3'
