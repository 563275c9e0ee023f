"""The fields of the configurations that operators send, with their types.

Every documented field is checked, whether this product uses it or not: a document of which a part
cannot be read must not take effect. Fields that are not documented may hold anything. Lists and
objects that an encoder leaves empty may be missing or null, except the sections themselves.
"""

from typing import Annotated

import msgspec

from cicadatray.platform.fields import MAX_NUMBER

# The largest number that the log and all JSON libraries of operators can carry.
MAX_VERSION = 2**63 - 1

Number = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
# Some encoders write whole numbers with a decimal point.
Whole = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER, multiple_of=1)]


class SectionStruct(msgspec.Struct, frozen=True, rename="pascal", kw_only=True):
    """A part of a configuration; the wire names are those of its fields in PascalCase."""


class AdviceDocument(SectionStruct, frozen=True):
    """When to ask for advice about the workers of a queue; in milliseconds."""

    decide_ms: Number = 0
    period_ms: Number = 0
    valid_ms: Number = 0


class RouteDocument(SectionStruct, frozen=True):
    """A queue."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: Positive
    kind: str = ""
    target_latency_ms: Number = 0
    priority: Whole = 0
    max_attempts: Whole = 1
    stretch: Number = 1.0
    public: bool = False
    allowed_regions: list[str] | None = None
    advice: AdviceDocument | None = None


class ServiceDocument(SectionStruct, frozen=True):
    """A pool of workers."""

    name: str
    health_path: str = ""
    max_conns: Whole = 0
    protocol: str = ""
    tls: bool = False
    admission_check: bool = False
    standby: bool = False
    cold_start_s: Number = 0
    cold_per_s: Number = 0


class LimitsDocument(SectionStruct, frozen=True):
    """Limits of requests; in bytes and milliseconds."""

    max_header_bytes: Whole = 0
    max_body_bytes: Whole = 0
    header_timeout_ms: Number = 0
    idle_timeout_ms: Number = 0


class GuaranteeDocument(SectionStruct, frozen=True):
    """What belongs to an account at all times."""

    gpus: Whole = 0


class TenantDocument(SectionStruct, frozen=True):
    """An account."""

    name: str
    api_keys: list[str] | None = None
    priority: Whole = 0
    rate_per_s: Number = 0
    guaranteed: GuaranteeDocument | None = None


class ConfigurationDocument(SectionStruct, frozen=True):
    """A complete configuration; `tenants` is None where the document has none."""

    version: int | float
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument
    tenants: list[TenantDocument] | None = None
