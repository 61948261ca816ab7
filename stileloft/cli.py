"""The command line."""

import argparse
import logging
import sys
from typing import Any

from stileloft import __version__

USAGE_ERROR = 2


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="stileloft", description="A cluster scheduler.")
    top.add_argument("--version", action="version", version=f"stileloft {__version__}")
    top.add_argument("--config", metavar="FILE", help="the same as `serve --config FILE`")
    commands = top.add_subparsers(dest="command", metavar="COMMAND")
    serve_command = commands.add_parser("serve", help="run a controller")
    serve_command.add_argument("--config", metavar="FILE", required=True, dest="serve_config", help="settings (TOML)")
    check = commands.add_parser("check-config", help="check a settings file and exit")
    check.add_argument("file", metavar="FILE")
    return top


def serve(path: str) -> int:
    # Imported here, since the other commands have no use for the network.
    from stileloft import logs, settings

    try:
        loaded = settings.load(path)
    except settings.SettingsError as error:
        return refuse(path, error)
    logs.configure()
    from twisted.internet import error as net_error
    from twisted.internet import reactor as installed

    from stileloft.coordination.node import Node

    reactor: Any = installed
    node = Node(reactor, loaded)
    try:
        node.start()
    except net_error.CannotListenError as error:
        logging.getLogger(__name__).error("%s", error)
        return 1
    reactor.run()
    return 0


def refuse(path: str, error: Exception) -> int:
    print(f"stileloft: {path}: {error}", file=sys.stderr)
    return USAGE_ERROR


def check_config(path: str) -> int:
    from stileloft import settings

    try:
        settings.load(path)
    except settings.SettingsError as error:
        return refuse(path, error)
    print(f"{path}: the settings are valid")
    return 0


def main(arguments: list[str] | None = None) -> int:
    top = parser()
    options = top.parse_args(arguments)
    if options.command == "check-config":
        return check_config(options.file)
    path = options.serve_config if options.command == "serve" else options.config
    if not path:
        top.error("a command or --config FILE is needed")
    return serve(path)
