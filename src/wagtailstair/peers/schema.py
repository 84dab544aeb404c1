"""Loads the schema of the peers protocol from the package's file."""

import pathlib
import typing as t

import capnp

capnp.remove_import_hook()

SCHEMA: t.Any = capnp.load(str(pathlib.Path(__file__).with_name("protocol.capnp")))
DecodeError: type[Exception] = capnp.KjException
