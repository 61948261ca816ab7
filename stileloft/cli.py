"""The command line."""

import argparse
import logging
import sys
from collections.abc import Callable
from typing import Any

from stileloft import __version__

USAGE_ERROR = 2
"""Exit code for an invalid file, argument or request."""
FAILURE = 1
"""Exit code for all other failures, such as an unreachable controller."""
ADMIN_TIMEOUT_S = 10
INVALID_REQUEST_STATUSES = (400, 404)
"""HTTP statuses of responses to invalid requests."""


class UsageError(Exception):
    """An argument is invalid; `reason` names it."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def main(arguments: list[str] | None = None) -> int:
    """Runs a command and returns the process's exit code."""
    parser = _build_parser()
    options = parser.parse_args(arguments)
    if options.command == "check-config":
        return _check_config(options.file, options.features)
    if options.command == "settings":
        return _administer(options.node, lambda: _change_settings(options.node, getattr(options, "changes", None)))
    if options.command == "rebuild":
        return _administer(options.node, lambda: _administer_rebuild(options))
    path = options.serve_config if options.command == "serve" else options.config
    if not path:
        parser.error("a command or --config FILE is needed")
    return _serve(path, options.features)


# -- arguments -----------------------------------------------------------------


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="stileloft", description="A cluster scheduler.")
    parser.add_argument("--version", action="version", version=f"stileloft {__version__}")
    parser.add_argument("--features", metavar="FILE", help="features file (TOML); without it, all features are off")
    parser.add_argument("--config", metavar="FILE", help="the same as `serve --config FILE`")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    serve = commands.add_parser("serve", help="run a controller")
    serve.add_argument("--config", metavar="FILE", required=True, dest="serve_config", help="settings file (TOML)")
    check = commands.add_parser("check-config", help="validate a settings file and exit")
    check.add_argument("file", metavar="FILE")
    settings = commands.add_parser("settings", help="show or change the operator settings of a running service")
    rebuild = commands.add_parser(
        "rebuild", help="show a rebuild of lost state, or decide about the tasks that it left undecided"
    )
    _add_settings_arguments(settings)
    _add_rebuild_arguments(rebuild)
    return parser


def _add_settings_arguments(parser: argparse.ArgumentParser) -> None:
    _add_node_argument(parser)
    actions = parser.add_subparsers(dest="action", metavar="ACTION", required=True)
    actions.add_parser("show", help="print the operator settings")
    change = actions.add_parser("set", help="change operator settings on all controllers")
    change.add_argument(
        "changes", metavar="NAME=VALUE", nargs="+", help="a setting and its value as JSON, such as headroom=1.5"
    )


def _add_rebuild_arguments(parser: argparse.ArgumentParser) -> None:
    _add_node_argument(parser)
    actions = parser.add_subparsers(dest="action", metavar="ACTION", required=True)
    actions.add_parser("show", help="print the state of the store, the progress of a rebuild and the undecided tasks")
    decide = actions.add_parser("decide", help="decide about the undecided tasks of a job")
    decide.add_argument("job", metavar="JOB")
    decide.add_argument("decision", choices=["run", "done", "forget"])
    decide.add_argument(
        "--task", type=int, metavar="NUMBER", help="only this task; by default all undecided tasks of the job"
    )


def _add_node_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--node", metavar="ADDRESS", required=True, help="a controller's peer address, host:port")


# -- running a controller -----------------------------------------------------------


def _serve(path: str, features_path: str | None) -> int:
    # Imported here, since the other commands do not need the network.
    from stileloft import features, logs, settings

    try:
        loaded = settings.load(path)
    except settings.SettingsError as error:
        return _report_invalid_file(path, error)
    try:
        enabled = features.Features() if features_path is None else features.load(features_path)
    except features.FeaturesError as error:
        return _report_invalid_file(str(features_path), error)
    logs.configure()
    from twisted.internet import error as net_error
    from twisted.internet import reactor as installed

    from stileloft.controller.controller import Controller
    from stileloft.transport.sockets import raise_open_files_limit

    raise_open_files_limit(loaded.deployment.quota.max_sockets)
    reactor: Any = installed
    controller = Controller(reactor, loaded, features=enabled)
    try:
        controller.start()
    except net_error.CannotListenError as error:
        return _fail_to_start(error)
    reactor.run()
    return 0


def _fail_to_start(error: Exception) -> int:
    """Logs why the controller cannot start, and returns the exit code.

    No traceback is logged, since the error's text contains all that an operator needs.
    """
    logging.getLogger(__name__).error("controller failed to start error=%s", error)
    return FAILURE


def _report_invalid_file(path: str, error: Exception) -> int:
    print(f"stileloft: {path}: {error}", file=sys.stderr)
    return USAGE_ERROR


def _check_config(path: str, features_path: str | None) -> int:
    from stileloft import features, settings

    try:
        settings.load(path)
    except settings.SettingsError as error:
        return _report_invalid_file(path, error)
    if features_path is not None:
        try:
            features.load(features_path)
        except features.FeaturesError as error:
            return _report_invalid_file(features_path, error)
        print(f"{features_path}: the features are valid")
    print(f"{path}: the settings are valid")
    return 0


# -- the administration API ------------------------------------------------------------


def _administer(node: str, request: Callable[[], Any]) -> int:
    """Prints a controller's response to a request, and returns the exit code."""
    import urllib.error

    import orjson

    try:
        answer = request()
    except UsageError as error:
        print(f"stileloft: {error}", file=sys.stderr)
        return USAGE_ERROR
    except urllib.error.HTTPError as error:
        print(f"stileloft: {node}: status {error.code}: {error.read().decode('utf-8', 'replace')}", file=sys.stderr)
        return USAGE_ERROR if error.code in INVALID_REQUEST_STATUSES else FAILURE
    except (OSError, ValueError) as error:
        print(f"stileloft: {node}: {error}", file=sys.stderr)
        return FAILURE
    print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
    return 0


def _change_settings(node: str, changes: list[str] | None) -> Any:
    """Applies the changes, if any, and returns the resulting settings and their version."""
    import orjson

    current = _request_admin(node, "/settings")
    for change in changes or ():
        name, equals, text = change.partition("=")
        if not equals:
            raise UsageError(f"{change!r} is not NAME=VALUE")
        try:
            current["settings"][name] = orjson.loads(text)
        except orjson.JSONDecodeError:
            raise UsageError(f"{name}: {text!r} is not a JSON value") from None
    return _request_admin(node, "/settings", current) if changes else current


def _administer_rebuild(options: argparse.Namespace) -> Any:
    """Returns the state of a rebuild, or the tasks of a job that remain undecided after a decision."""
    if options.action == "show":
        return _request_admin(options.node, "/rebuild")
    path = f"/rebuild/undecided/{options.job}"
    return _request_admin(options.node, path, {"task": options.task, "decision": options.decision})


def _request_admin(node: str, path: str, body: Any = None) -> Any:
    """Returns the response of a controller's administration API; the method is PUT with a body, otherwise GET."""
    import urllib.request

    import orjson

    request = urllib.request.Request(f"http://{node}{path}")
    if body is not None:
        headers = {"Content-Type": "application/json"}
        request = urllib.request.Request(f"http://{node}{path}", orjson.dumps(body), headers, method="PUT")
    with urllib.request.urlopen(request, timeout=ADMIN_TIMEOUT_S) as response:
        return orjson.loads(response.read())
