"""Commands of the command line and their options."""

import asyncio
import getpass
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import logbook
import typer

from ..config.exceptions import InvalidConfigError
from ..config.loader import load_configuration
from ..context import Environment
from ..daemon import Daemon
from ..explain import explain
from ..settings import load_settings
from ..status import ExitStatus
from . import client
from .exceptions import CommandError
from .output import print_json, print_table

DEFAULT_INSTANCE = "127.0.0.1:8101"
INSTANCE_VARIABLE = "PAPAYALEVER_INSTANCE"
LOG_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.channel}: {record.message}"
)

JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
InstanceOption = Annotated[
    str | None,
    typer.Option("--instance", help="Operator listener of any instance, as IP:PORT."),
]
FileArgument = Annotated[Path, typer.Argument(help="Declarative YAML file.")]


def build_app(env: Environment) -> Callable:
    """Build the command line for an environment."""
    app = typer.Typer(
        add_completion=False,
        no_args_is_help=True,
        help="Global traffic steering between callers and backend servers.",
        pretty_exceptions_enable=False,
    )
    _add_serve(app)
    _add_check(app, env)
    _add_apply(app, env)
    _add_show(app, env)
    _add_status(app, env)
    _add_explain(app, env)
    return typer.main.get_command(app)


def _add_serve(app: typer.Typer) -> None:
    @app.command()
    def serve(
        settings: Annotated[Path, typer.Option("--settings", help="Settings of this instance.")],
    ) -> ExitStatus:
        """Run the daemon of one instance until SIGTERM."""
        try:
            loaded = load_settings(_read_text(settings))
        except InvalidConfigError as error:
            raise CommandError(f"{settings}: {error}", ExitStatus.INVALID) from error
        handler = logbook.StderrHandler(format_string=LOG_FORMAT, level=logbook.INFO)
        with handler.applicationbound():
            try:
                asyncio.run(_serve(loaded))
            except OSError as error:
                raise CommandError(
                    f"Instance {loaded.id} cannot listen: {error}.", ExitStatus.ERROR
                ) from error
        return ExitStatus.SUCCESS


def _add_check(app: typer.Typer, env: Environment) -> None:
    @app.command()
    def check(file: FileArgument, as_json: JsonOption = False) -> ExitStatus:
        """Check a file without applying it."""
        try:
            configuration = load_configuration(_read_text(file))
        except InvalidConfigError as error:
            if as_json:
                faults = [
                    {"line": fault.line, "field": fault.field, "problem": fault.problem}
                    for fault in error.faults
                ]
                print_json(env, {"valid": False, "faults": faults})
                return ExitStatus.INVALID
            raise CommandError(f"{file}:\n{error}", ExitStatus.INVALID) from error
        if as_json:
            print_json(env, {"valid": True, "services": sorted(configuration.services)})
        else:
            env.print(f"{file} is valid: {len(configuration.services)} services.")
        return ExitStatus.SUCCESS


def _add_apply(app: typer.Typer, env: Environment) -> None:
    @app.command()
    def apply(
        file: FileArgument,
        instance: InstanceOption = None,
        expect: Annotated[
            int | None, typer.Option("--expect", help="Apply only if this version is in force.")
        ] = None,
        override_unreachable: Annotated[
            bool,
            typer.Option(
                "--override-unreachable",
                help="Accept although instances cannot be reached; until they can, "
                "they use the old version.",
            ),
        ] = False,
        as_json: JsonOption = False,
    ) -> ExitStatus:
        """Apply a file atomically on every instance."""
        query = {"operator": f"{getpass.getuser()}@{socket.gethostname()}"}
        if override_unreachable:
            query["override_unreachable"] = "1"
        if expect is not None:
            query["expected_version"] = str(expect)
        applied = client.post(
            _operator_address(env, instance), "/-/config", _read_text(file), query
        )
        if as_json:
            print_json(env, applied)
        else:
            env.print(f"Version {applied['version']} is in force.")
        return ExitStatus.SUCCESS


def _add_show(app: typer.Typer, env: Environment) -> None:
    @app.command()
    def show(instance: InstanceOption = None, as_json: JsonOption = False) -> ExitStatus:
        """Show the file in force and the version that each instance uses."""
        address = _operator_address(env, instance)
        document = client.get(address, "/-/config")
        status = client.get(address, "/-/status")
        document["instances"] = {
            item["id"]: _read_version(item["operator_address"])
            for item in status["instances"]
            if item["state"] != "dead"
        }
        if as_json:
            print_json(env, document)
            return ExitStatus.SUCCESS
        env.print(f"# version {document['version']}, sha256 {document['digest']}")
        for name, version in document["instances"].items():
            env.print(f"# {name}: {version if version is not None else 'does not answer'}")
        env.print(document["text"])
        return ExitStatus.SUCCESS


def _add_status(app: typer.Typer, env: Environment) -> None:
    @app.command()
    def status(instance: InstanceOption = None, as_json: JsonOption = False) -> ExitStatus:
        """Show instances, roles, plan, counters and latency as known to one instance."""
        document = client.get(_operator_address(env, instance), "/-/status")
        if as_json:
            print_json(env, document)
            return ExitStatus.SUCCESS
        env.print(
            f"{document['id']}: {document['state']}, configuration {document['config_version']}, "
            f"plan {document['plan_version']}, roles {', '.join(document['roles'])}"
        )
        rows = [
            [
                item["id"],
                item["region"],
                item["failure_domain"],
                item["state"],
                "yes" if item["reachable"] else "no",
            ]
            for item in document["instances"]
        ]
        print_table(env, ["INSTANCE", "REGION", "DOMAIN", "STATE", "REACHABLE"], rows)
        for name, value in sorted(document["counters"].items()):
            env.print(f"{name}: {value:g}")
        for stream, quantiles in sorted(document["latency_ms"].items()):
            listed = ", ".join(f"{name} {value:.1f} ms" for name, value in quantiles.items())
            env.print(f"latency {stream}: {listed}")
        return ExitStatus.SUCCESS


def _add_explain(app: typer.Typer, env: Environment) -> None:
    @app.command("explain")
    def explain_request(
        request_id: Annotated[
            str, typer.Argument(help="Id of the request, as the caller sent it.")
        ],
        logs: Annotated[
            list[Path], typer.Argument(help="Log files, one for each instance.", exists=True)
        ],
    ) -> ExitStatus:
        """Show from logs what happened to a request and what each instance knew."""
        sources = [(path.stem, _read_text(path).splitlines()) for path in logs]
        lines = list(explain(request_id, sources))
        for line in lines:
            env.print(line)
        if not lines:
            raise CommandError(
                f"None of {len(logs)} log files mentions request {request_id!r}; "
                "look for dropped log lines at that time.",
                ExitStatus.ERROR,
            )
        return ExitStatus.SUCCESS


async def _serve(settings) -> None:
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.request_stop)
    await daemon.run()


def _read_text(path: Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path} cannot be read: {error}.", ExitStatus.USAGE) from error


def _read_version(address: str) -> int | None:
    try:
        return client.get(address, "/-/status")["config_version"]
    except CommandError:
        return None


def _operator_address(env: Environment, instance: str | None) -> str:
    return instance or env.variables.get(INSTANCE_VARIABLE) or DEFAULT_INSTANCE
