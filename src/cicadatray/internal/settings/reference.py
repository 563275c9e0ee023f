"""Generates the settings reference, docs/settings.md, from the types and their doc comments."""

import ast
import inspect as source_inspect
import sys
import textwrap
from typing import Any

import msgspec
from msgspec import inspect

from cicadatray.internal.settings.load import settings_types
from cicadatray.internal.settings.structure import describe_number
from cicadatray.internal.settings.value_formats import FORMAT_KEY, value_formats

INTRODUCTION = """\
# Settings

Generated from the types in `cicadatray.internal.settings` by `./build.sh reference`; do not edit.

Each process reads one JSON file: `cicadatrayd --settings FILE`. The key `role` selects the settings
below. Keys that start with `//` are comments at every level. `cicadatray check FILE` reports all
faults of a file at once without starting a process. `examples/` has a commented file for each role.
"""


def render_reference() -> str:
    """Returns the reference as a Markdown page."""
    sections = [INTRODUCTION]
    nested: dict[str, type] = {}
    for role, settings_type in settings_types.items():
        sections.append(_render_section(f"Role `{role}`", settings_type, role))
        _collect_nested(settings_type, nested)
    for name, struct_type in nested.items():
        sections.append(_render_section(f"`{name}`", struct_type, None))
    return "\n".join(sections)


def _render_section(title: str, struct_type: type, role: str | None) -> str:
    comments = read_field_comments(struct_type)
    lines = [f"## {title}", "", source_inspect.getdoc(struct_type) or "", ""]
    lines += ["| key | value | default | meaning |", "|---|---|---|---|"]
    if role is not None:
        lines.append(f'| `role` | `"{role}"` | required | Selects these settings. |')
    for field in _struct_info(struct_type).fields:
        comment = comments[field.encode_name]
        value = describe_type(field.type)
        lines.append(f"| `{field.encode_name}` | {value} | {_default(field)} | {comment} |")
    return "\n".join([*lines, ""])


def _struct_info(struct_type: type) -> inspect.StructType:
    info = inspect.type_info(struct_type)
    assert isinstance(info, inspect.StructType)
    return info


def read_field_comments(struct_type: type) -> dict[str, str]:
    """Returns the doc comment of each field of the class and of its base classes, by field name."""
    comments: dict[str, str] = {}
    for owner in reversed(struct_type.__mro__):
        if issubclass(owner, msgspec.Struct) and owner is not msgspec.Struct:
            comments.update(_read_own_comments(owner))
    return comments


def _read_own_comments(owner: type) -> dict[str, str]:
    tree = ast.parse(textwrap.dedent(source_inspect.getsource(owner)))
    definition = tree.body[0]
    assert isinstance(definition, ast.ClassDef)
    comments: dict[str, str] = {}
    for statement, following in zip(definition.body, definition.body[1:], strict=False):
        if not isinstance(statement, ast.AnnAssign) or not isinstance(following, ast.Expr):
            continue
        if isinstance(following.value, ast.Constant):
            comments[ast.unparse(statement.target)] = " ".join(str(following.value.value).split())
    return comments


def describe_type(info: Any) -> str:
    """Returns a description of the allowed values."""
    if isinstance(info, inspect.Metadata):
        name = (info.extra or {}).get(FORMAT_KEY)
        return value_formats[name].expected if name else describe_type(info.type)
    if isinstance(info, inspect.StructType):
        return f"`{info.cls.__name__}`"
    if isinstance(info, inspect.VarTupleType):
        return f"list of {describe_type(info.item_type)}"
    if isinstance(info, inspect.UnionType):
        kinds = [kind for kind in info.types if not isinstance(kind, inspect.NoneType)]
        return " or ".join(describe_type(kind) for kind in kinds)
    if isinstance(info, inspect.LiteralType):
        return ", ".join(f'`"{value}"`' for value in info.values)
    if isinstance(info, inspect.IntType | inspect.FloatType):
        return describe_number(info)
    return "true or false" if isinstance(info, inspect.BoolType) else "a string"


def _default(field: inspect.Field) -> str:
    if field.required:
        return "required"
    if field.default is None:
        return "none"
    if isinstance(field.default, msgspec.Struct):
        return "its defaults"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _collect_nested(owner: type, nested: dict[str, type]) -> None:
    for field in _struct_info(owner).fields:
        for struct_type in _find_structs(field.type):
            nested[struct_type.__name__] = struct_type
            _collect_nested(struct_type, nested)


def _find_structs(info: Any) -> list[type]:
    if isinstance(info, inspect.StructType):
        return [info.cls]
    if isinstance(info, inspect.Metadata):
        return _find_structs(info.type)
    if isinstance(info, inspect.VarTupleType):
        return _find_structs(info.item_type)
    if isinstance(info, inspect.UnionType):
        return [struct for kind in info.types for struct in _find_structs(kind)]
    return []


def main() -> None:
    """Writes the page to standard output."""
    sys.stdout.write(render_reference())


if __name__ == "__main__":
    main()
