"""Sample documents in the platform's format."""

import copy
from typing import Any

CONFIGURATION: dict[str, Any] = {
    "Version": 3,
    "Routes": [
        {
            "Name": "fast",
            "Host": "Jobs.example",
            "PathPrefix": "/fast/",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 250,
            "Priority": 0,
            "Service": "pool",
            "MaxAttempts": 2,
            "Stretch": 1.5,
            "Public": False,
        },
        {
            "Name": "slow",
            "Host": "jobs.example",
            "PathPrefix": "/slow/",
            "TimeoutMs": 3000,
            "Service": "pool",
            "Public": True,
        },
    ],
    "Services": [{"Name": "pool", "AdmissionCheck": False}],
    "Limits": {"MaxBodyBytes": 262144},
    "Tenants": [
        {"Name": "one", "ApiKeys": ["k1", "k2"], "Guaranteed": {"Gpus": 16}},
        {"Name": "two", "ApiKeys": ["k3"]},
    ],
}
# Every field that the platform documents.
FULL_CONFIGURATION: dict[str, Any] = {
    "Version": 7,
    "Routes": [
        {
            "Name": "fast",
            "Host": "jobs.example",
            "PathPrefix": "/fast/",
            "Kind": "unsafe",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 3000,
            "Priority": 2,
            "Service": "pool",
            "MaxAttempts": 3,
            "Stretch": 3.0,
            "Public": False,
        },
        {
            "Name": "slow",
            "Host": "more.example",
            "PathPrefix": "/slow/",
            "Kind": "unsafe",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 250,
            "Priority": 0,
            "Service": "pool",
            "MaxAttempts": 2,
            "Stretch": 1.5,
            "Public": True,
        },
    ],
    "Services": [
        {
            "Name": "pool",
            "HealthPath": "/health",
            "MaxConns": 64,
            "Protocol": "h1",
            "Tls": False,
            "AdmissionCheck": False,
            "Standby": False,
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 262144,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [
        {"Name": "one", "ApiKeys": ["k1", "k2"], "Priority": 1, "Guaranteed": {"Gpus": 16}},
        {"Name": "two", "ApiKeys": ["k3"], "Priority": 1, "Guaranteed": {}},
    ],
}
JOB: dict[str, Any] = {
    "Spec": "text",
    "Steps": [
        {"Count": 2, "Cpu": 500, "MemMb": 256, "Gpus": 1, "EstimateMs": 900, "Gang": True},
        {"Count": 1, "Cpu": 2000, "EstimateMs": 7000, "DependsOn": [0], "Requirements": "a"},
    ],
}
ANNOUNCEMENT: dict[str, Any] = {
    "Service": "pool",
    "Address": "10.0.0.9:8080",
    "Zone": "north",
    "State": "ready",
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpus": 8},
    "Labels": ["a", "r1"],
    "ClockMs": 482113,
    "Seq": 4,
}


def changed(document: dict[str, Any], *path: Any, value: Any) -> dict[str, Any]:
    """Returns a copy with a new value for the field at `path`, or without it if `value` is None."""
    result = copy.deepcopy(document)
    parent: Any = result
    for step in path[:-1]:
        parent = parent[step]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return result
