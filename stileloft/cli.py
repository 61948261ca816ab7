"""The command line."""

import argparse
import logging
import sys
from typing import Any

from stileloft import __version__

USAGE_ERROR = 2
ADMIN_TIMEOUT_S = 10


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="stileloft", description="A cluster scheduler.")
    top.add_argument("--version", action="version", version=f"stileloft {__version__}")
    top.add_argument("--config", metavar="FILE", help="the same as `serve --config FILE`")
    commands = top.add_subparsers(dest="command", metavar="COMMAND")
    serve_command = commands.add_parser("serve", help="run a controller")
    serve_command.add_argument("--config", metavar="FILE", required=True, dest="serve_config", help="settings (TOML)")
    check = commands.add_parser("check-config", help="check a settings file and exit")
    check.add_argument("file", metavar="FILE")
    settings = commands.add_parser("settings", help="read or change the operators' settings of a running service")
    settings.add_argument("--node", metavar="ADDRESS", required=True, help="a controller's peer address, host:port")
    actions = settings.add_subparsers(dest="action", metavar="ACTION", required=True)
    actions.add_parser("show", help="print the settings")
    change = actions.add_parser("set", help="change some of them, on all nodes")
    change.add_argument("changes", metavar="NAME=VALUE", nargs="+", help="the value as JSON, such as headroom=1.5")
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
    from stileloft.transport.sockets import allow_open_files

    allow_open_files(loaded.deployment.quota.max_sockets)
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


def administer(node: str, changes: list[str] | None) -> int:
    """Prints the settings, after the changes if there are any."""
    import urllib.error
    import urllib.request

    import orjson

    url = f"http://{node}/settings"
    try:
        with urllib.request.urlopen(url, timeout=ADMIN_TIMEOUT_S) as response:
            current = orjson.loads(response.read())
        if changes:
            for change in changes:
                name, equals, text = change.partition("=")
                if not equals:
                    print(f"stileloft: {change!r} is not NAME=VALUE", file=sys.stderr)
                    return USAGE_ERROR
                try:
                    current["settings"][name] = orjson.loads(text)
                except orjson.JSONDecodeError:
                    print(f"stileloft: {name}: {text!r} is not a JSON value", file=sys.stderr)
                    return USAGE_ERROR
            request = urllib.request.Request(
                url, orjson.dumps(current), {"Content-Type": "application/json"}, method="PUT"
            )
            with urllib.request.urlopen(request, timeout=ADMIN_TIMEOUT_S) as response:
                current = orjson.loads(response.read())
    except urllib.error.HTTPError as error:
        print(f"stileloft: {node}: {error.code}: {error.read().decode('utf-8', 'replace')}", file=sys.stderr)
        return USAGE_ERROR if error.code == 400 else 1
    except (OSError, ValueError) as error:
        print(f"stileloft: {node}: {error}", file=sys.stderr)
        return 1
    print(orjson.dumps(current, option=orjson.OPT_INDENT_2).decode())
    return 0


def main(arguments: list[str] | None = None) -> int:
    top = parser()
    options = top.parse_args(arguments)
    if options.command == "check-config":
        return check_config(options.file)
    if options.command == "settings":
        return administer(options.node, getattr(options, "changes", None))
    path = options.serve_config if options.command == "serve" else options.config
    if not path:
        top.error("a command or --config FILE is needed")
    return serve(path)
