"""The content of a configuration, and what it allows."""

import random
from typing import Any

import msgspec

SERVICE = "pool"
HOSTS = ("jobs.example", "more.example")
ACCOUNTS = ("north", "south", "west")
MAX_VERSION_STEP = 7
# A call of a route that stays is served or refused by every version alike.
LASTING_ROUTE = ("jobs.example", "/lasting/")
LASTING_KEY = "lasting"
# Their priorities are 0, 1 and 2; the last two are there only in plays with jobs.
LASTING_ROUTES = (LASTING_ROUTE, (HOSTS[0], "/lasting-1/"), (HOSTS[1], "/lasting-2/"))


class Content(msgspec.Struct, frozen=True):
    """Routes by host and prefix, each public or not, and the keys of each account."""

    version: int
    routes: dict[tuple[str, str], bool]
    keys: dict[str, tuple[str, ...]]
    timeout_ms: int = 3000

    def expected_status(self, host: str, prefix: str, key: str) -> int:
        """Returns the status of a count of the queue at a route."""
        if (host, prefix) not in self.routes:
            return 404
        known = any(key in keys for keys in self.keys.values())
        return 200 if known or self.routes[host, prefix] else 401

    def document(self) -> dict[str, Any]:
        """Returns the complete document."""
        routes = [
            {
                "Name": f"r{host[0]}{prefix.replace('/', '-')}",
                "Host": host,
                "PathPrefix": prefix,
                "Kind": "unsafe",
                "TimeoutMs": self.timeout_ms,
                "TargetLatencyMs": 250,
                "Priority": number % 3,
                "Service": SERVICE,
                "MaxAttempts": 2,
                "Stretch": 1.5,
                "Public": is_public,
            }
            for number, ((host, prefix), is_public) in enumerate(self.routes.items())
        ]
        services = [
            {
                "Name": SERVICE,
                "HealthPath": "/health",
                "MaxConns": 64,
                "Protocol": "h1",
                "Tls": False,
                "AdmissionCheck": False,
                "Standby": False,
            }
        ]
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        tenants = [
            {"Name": name, "ApiKeys": list(keys), "Priority": 1, "Guaranteed": {"Gpus": 16}}
            for name, keys in self.keys.items()
        ]
        return {
            "Version": self.version,
            "Routes": routes,
            "Services": services,
            "Limits": limits,
            "Tenants": tenants,
        }

    def changed(self, source: random.Random, lowest: int) -> "Content":
        """Returns a later version, above `lowest`, with a route or a key more or less."""
        routes, keys = dict(self.routes), dict(self.keys)
        for _ in range(source.randint(1, 3)):
            removable = [route for route in routes if route not in LASTING_ROUTES]
            if removable and source.random() < 0.45:
                del routes[source.choice(removable)]
            else:
                prefix = f"/q{source.randrange(12)}/"
                routes[source.choice(HOSTS), prefix] = source.random() < 0.3
        account = source.choice(ACCOUNTS)
        taken = {key for name, own in keys.items() if name != account for key in own}
        drawn = {f"k{source.randrange(9)}" for _ in range(source.randint(0, 3))}
        lasting = (LASTING_KEY,) if account == ACCOUNTS[0] else ()
        keys[account] = (*lasting, *sorted(drawn - taken))
        return Content(
            version=max(self.version, lowest) + source.randint(1, MAX_VERSION_STEP),
            routes=routes,
            keys=keys,
            timeout_ms=source.choice((1500, 3000, 3500)),
        )


def first_content(routes: tuple[tuple[str, str], ...] = (LASTING_ROUTE,)) -> Content:
    """Returns the configuration with which a deployment starts."""
    keys = {name: () for name in ACCOUNTS} | {ACCOUNTS[0]: (LASTING_KEY,)}
    return Content(version=1, routes=dict.fromkeys(routes, False), keys=keys)


def with_many_routes(content: Content, count: int) -> Content:
    """Returns the content with more routes."""
    more = {(HOSTS[0], f"/many/{number}/"): False for number in range(count)}
    return msgspec.structs.replace(content, routes={**content.routes, **more})
