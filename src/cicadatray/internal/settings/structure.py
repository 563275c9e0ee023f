"""Checks a decoded JSON document against a type and reports all faults, not only the first."""

import difflib
import math
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from msgspec import inspect
from returns.result import Failure, Result, Success

from cicadatray.internal.settings.document_fault import DocumentFault
from cicadatray.internal.settings.value_formats import FORMAT_KEY, value_formats

SHOWN_VALUE_LENGTH = 80  # characters
ROOT_PATH = "(document)"

# Success, or a failure with all faults that the check has found.
CheckResult = Result[None, tuple[DocumentFault, ...]]
StructureCheck = Callable[[Any, Any, str], CheckResult]

structure_checks: dict[type, StructureCheck] = {}


def structure_check(*kinds: type) -> Callable[[StructureCheck], StructureCheck]:
    """Returns a decorator that registers a check for the given `msgspec.inspect` types."""

    def register(check: StructureCheck) -> StructureCheck:
        for kind in kinds:
            structure_checks[kind] = check
        return check

    return register


def check_structure(value: Any, type_info: Any, path: str = "") -> CheckResult:
    """Checks a value against a type; `path` locates the value in its document."""
    return structure_checks[type(type_info)](value, type_info, path)


def merge_checks(checks: Iterable[CheckResult]) -> CheckResult:
    """Returns success, or a failure with the faults of all checks."""
    faults: list[DocumentFault] = []
    for check in checks:
        faults += check.swap().value_or(())
    return Failure(tuple(faults)) if faults else Success(None)


def fault(path: str, value: Any, expected: str) -> CheckResult:
    """Returns a failure with one fault."""
    return Failure((DocumentFault(path or ROOT_PATH, show_value(value), expected),))


def show_value(value: Any) -> str:
    """Returns the value as JSON, truncated to `SHOWN_VALUE_LENGTH` characters."""
    text = msgspec.json.encode(value).decode("utf-8", "replace")
    if len(text) <= SHOWN_VALUE_LENGTH:
        return text
    return text[: SHOWN_VALUE_LENGTH - 3] + "..."


def join_path(path: str, key: str) -> str:
    """Returns the path of a member of an object."""
    return f"{path}.{key}" if path else key


def describe_unknown_key(valid_keys: Iterable[str], key: str) -> str:
    """Returns the expected keys in place of an unknown one: the closest match or all keys."""
    names = sorted(valid_keys)
    nearest = difflib.get_close_matches(key, names, n=1)
    if nearest:
        return f'the known key "{nearest[0]}"'
    return f"one of the known keys {', '.join(names)}"


@structure_check(inspect.StructType)
def _check_struct(value: Any, info: inspect.StructType, path: str) -> CheckResult:
    if not isinstance(value, dict):
        return fault(path, value, "an object")
    fields = {field.encode_name: field for field in info.fields}
    valid_keys = [*fields, info.tag_field] if info.tag_field else list(fields)
    checks = [
        check_structure(item, fields[key].type, join_path(path, key))
        for key, item in value.items()
        if key in fields
    ]
    missing = [name for name, field in fields.items() if field.required and name not in value]
    checks += [
        fault(join_path(path, name), None, "a value: the key is missing") for name in missing
    ]
    unknown = [key for key in value if key not in valid_keys]
    checks += [
        fault(join_path(path, key), value[key], describe_unknown_key(valid_keys, key))
        for key in unknown
    ]
    return merge_checks(checks)


@structure_check(inspect.VarTupleType, inspect.ListType)
def _check_sequence(value: Any, info: Any, path: str) -> CheckResult:
    if not isinstance(value, list):
        return fault(path, value, "a list")
    return merge_checks(
        check_structure(item, info.item_type, f"{path}[{index}]")
        for index, item in enumerate(value)
    )


@structure_check(inspect.DictType)
def _check_dict(value: Any, info: inspect.DictType, path: str) -> CheckResult:
    if not isinstance(value, dict):
        return fault(path, value, "an object")
    return merge_checks(
        check_structure(item, info.value_type, join_path(path, key)) for key, item in value.items()
    )


@structure_check(inspect.UnionType)
def _check_optional(value: Any, info: inspect.UnionType, path: str) -> CheckResult:
    if value is None:
        return Success(None)
    (inner,) = (kind for kind in info.types if not isinstance(kind, inspect.NoneType))
    return check_structure(value, inner, path)


@structure_check(inspect.Metadata)
def _check_metadata(value: Any, info: inspect.Metadata, path: str) -> CheckResult:
    checked = check_structure(value, info.type, path)
    name = (info.extra or {}).get(FORMAT_KEY)
    if name is None or not isinstance(value, str) or value_formats[name].accepts(value):
        return checked
    return fault(path, value, value_formats[name].expected)


@structure_check(inspect.IntType, inspect.FloatType)
def _check_number(value: Any, info: Any, path: str) -> CheckResult:
    kinds = (int,) if isinstance(info, inspect.IntType) else (int, float)
    if isinstance(value, bool) or not isinstance(value, kinds) or not math.isfinite(value):
        return fault(path, value, describe_number(info))
    allowed = (
        (info.ge is None or value >= info.ge)
        and (info.gt is None or value > info.gt)
        and (info.le is None or value <= info.le)
    )
    return Success(None) if allowed else fault(path, value, describe_number(info))


def describe_number(info: Any) -> str:
    """Returns a description of the allowed numbers."""
    noun = "a whole number" if isinstance(info, inspect.IntType) else "a number"
    if info.ge is not None and info.le is not None:
        return f"{noun} from {info.ge} to {info.le}"
    if info.ge is not None:
        return f"{noun} of at least {info.ge}"
    if info.gt is not None:
        return f"{noun} above {info.gt}"
    return noun


@structure_check(inspect.StrType)
def _check_text(value: Any, info: inspect.StrType, path: str) -> CheckResult:
    return Success(None) if isinstance(value, str) else fault(path, value, "a string")


@structure_check(inspect.BoolType)
def _check_boolean(value: Any, info: inspect.BoolType, path: str) -> CheckResult:
    return Success(None) if isinstance(value, bool) else fault(path, value, "true or false")


@structure_check(inspect.LiteralType)
def _check_literal(value: Any, info: inspect.LiteralType, path: str) -> CheckResult:
    if value in info.values:
        return Success(None)
    return fault(path, value, f"one of {', '.join(str(item) for item in info.values)}")


@structure_check(inspect.EnumType)
def _check_enum(value: Any, info: inspect.EnumType, path: str) -> CheckResult:
    values = [member.value for member in info.cls]
    if value in values:
        return Success(None)
    return fault(path, value, f"one of {', '.join(str(item) for item in values)}")
