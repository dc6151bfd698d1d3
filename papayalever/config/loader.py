"""Parse and validate YAML files; each fault is reported with its line and field."""

from collections.abc import Sequence
from typing import Any, TypeVar

import yaml
from pydantic import TypeAdapter, ValidationError

from .exceptions import Fault, InvalidConfigError
from .models import CONFIGURATION, Configuration
from .rules import find_inconsistencies

try:
    from yaml import CSafeLoader as SafeLoader
except ImportError:
    from yaml import SafeLoader

Model = TypeVar("Model")


def load_configuration(text: str) -> Configuration:
    """Parse and validate a configuration file; raises `InvalidConfigError`."""
    configuration = load_yaml(text, CONFIGURATION)
    inconsistencies = find_inconsistencies(configuration)
    if inconsistencies:
        raise InvalidConfigError(
            [_locate(text, path, problem) for path, problem in inconsistencies]
        )
    return configuration


def load_yaml(text: str, adapter: TypeAdapter[Model]) -> Model:
    """Parse a YAML document into the type of ``adapter``; raises `InvalidConfigError`."""
    try:
        document = yaml.load(text, Loader=SafeLoader)
    except yaml.YAMLError as error:
        raise InvalidConfigError([_syntax_fault(error)]) from error
    try:
        return adapter.validate_python(document)
    except ValidationError as error:
        faults = [_locate(text, item["loc"], item["msg"]) for item in error.errors()]
        raise InvalidConfigError(faults) from error


def _syntax_fault(error: yaml.YAMLError) -> Fault:
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark else 1
    problem = getattr(error, "problem", None) or "not valid YAML"
    return Fault(line, "file", problem)


def _locate(text: str, path: Sequence[int | str], problem: str) -> Fault:
    node = yaml.compose(text, Loader=SafeLoader)
    line = node.start_mark.line + 1 if node else 1
    for step in path:
        key, node = _child(node, step)
        if node is None:
            break
        line = (key or node).start_mark.line + 1
    return Fault(line, ".".join(str(step) for step in path) or "file", problem)


def _child(node: Any, step: int | str) -> tuple[Any, Any]:
    if isinstance(node, yaml.MappingNode):
        return next(((key, value) for key, value in node.value if key.value == step), (None, None))
    if isinstance(node, yaml.SequenceNode) and isinstance(step, int) and step < len(node.value):
        return None, node.value[step]
    return None, None
