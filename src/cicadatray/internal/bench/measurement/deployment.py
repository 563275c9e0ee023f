"""The two deployments that are measured, at their current size."""

import msgspec

from cicadatray.scheduling.inventory import Inventory, WorkerRecord
from cicadatray.scheduling.rules import Guarantee, Rules
from cicadatray.scheduling.shape import Scope, Shape

BASELINE_POLICIES = ("first_fit", "best_fit_backfill")
PRODUCT_POLICIES = ("compact", "swift")
POLICIES = BASELINE_POLICIES + PRODUCT_POLICIES

ACCELERATORS_PER_WORKER = 8
WORKERS_PER_RACK = 3
WORKER_MEMORY_GB = 128


class Deployment(msgspec.Struct, frozen=True):
    """An inventory with its rules; `account_weights` gives the accounts' relative shares of jobs.

    `tight_guarantees` cover 68 of the 80 accelerators, so that a badly placed gang blocks another
    guarantee; the ordinary guarantees leave too much free capacity for that.
    """

    name: str
    inventory: Inventory
    large_job: Shape
    guarantees: tuple[Guarantee, ...]
    account_weights: dict[str, float]
    default_policy: str
    tight_guarantees: tuple[Guarantee, ...] = ()

    def rules(self, policy: str) -> Rules:
        """Returns the rules under one policy."""
        return Rules(policy, self.large_job, self.guarantees, dict(self.account_weights))

    @property
    def capacity(self) -> int:
        """The number of accelerators in the inventory."""
        return sum(worker.accelerators for worker in self.inventory.workers)


def _inventory(sites: dict[str, int], cores: int, member: str) -> Inventory:
    workers = [
        WorkerRecord(
            worker_id=f"{site}-{index}",
            data_centre=site,
            rack=f"r{index // WORKERS_PER_RACK}",
            accelerators=ACCELERATORS_PER_WORKER,
            cores=cores,
            memory_gb=WORKER_MEMORY_GB,
            member=member,
        )
        for site, count in sites.items()
        for index in range(count)
    ]
    return Inventory(tuple(workers))


def cartago() -> Deployment:
    """Returns the deployment whose long assessments need two adjacent workers of a rack."""
    return Deployment(
        name="cartago",
        inventory=_inventory({"oreamuno": 4, "tejar": 3, "paraiso": 3}, 64, "acueducto"),
        large_job=Shape(16, Scope.RACK),
        guarantees=(
            Guarantee("acueducto", Shape(16, Scope.RACK)),
            Guarantee("hidrologia", Shape(16, Scope.RACK)),
            Guarantee("permisos", Shape(8, Scope.WORKER)),
        ),
        account_weights={"acueducto": 4.0, "hidrologia": 3.0, "permisos": 1.0, "catastro": 1.0},
        default_policy="compact",
        tight_guarantees=(
            Guarantee("acueducto", Shape(16, Scope.RACK), 2),
            Guarantee("hidrologia", Shape(16, Scope.RACK)),
            Guarantee("permisos", Shape(8, Scope.WORKER), 2),
            Guarantee("catastro", Shape(4, Scope.WORKER)),
        ),
    )


def port_louis() -> Deployment:
    """Returns the deployment with short-deadline renders; its large render fills one worker."""
    return Deployment(
        name="port_louis",
        inventory=_inventory({"port-louis": 4, "ebene": 3, "curepipe": 3}, 32, "affiche"),
        large_job=Shape(8, Scope.WORKER),
        guarantees=(
            Guarantee("affiche", Shape(8, Scope.WORKER), 2),
            Guarantee("franchise-north", Shape(16, Scope.RACK)),
            Guarantee("franchise-south", Shape(4, Scope.WORKER)),
        ),
        account_weights={
            "affiche": 4.0,
            "franchise-north": 3.0,
            "franchise-south": 1.0,
            "studio": 1.0,
        },
        default_policy="swift",
        tight_guarantees=(
            Guarantee("affiche", Shape(8, Scope.WORKER), 4),
            Guarantee("franchise-north", Shape(16, Scope.RACK), 2),
            Guarantee("franchise-south", Shape(4, Scope.WORKER)),
        ),
    )


def deployments() -> tuple[Deployment, ...]:
    """Returns all measured deployments."""
    return cartago(), port_louis()
