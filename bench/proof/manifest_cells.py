"""Manifest cells of the fault matrix: a fault at a step of a rollout."""

import contextlib
import threading
import time

import msgspec
import urllib3

from bench.fleet import Fleet
from lagoonrill._internal.coordination.apply import (
    ApplyReport,
    ApplyResult,
    ManifestRollout,
    Stage,
)
from lagoonrill._internal.protocol.settings import PlatformSettings
from lagoonrill._internal.transport.instance_list import InstanceList
from lagoonrill._internal.transport.object_api import ObjectApi

from .fault_context import FaultContext, wait_until
from .faults import MANIFEST, Fault
from .history import GenerationSeen, ManifestResult
from .request_cells import Step

# Longer than the longest fault, and shorter than the 45 s of silence after which a
# rollout no longer waits for an instance that is missing from the Instance list.
APPLY_TIMEOUT_S = 15.0
CONVERGE_TIMEOUT_S = 15.0
SAMPLE_INTERVAL_S = 0.05
MANIFEST_STEPS = [
    Step(name=name, kinds=(MANIFEST,))
    for name in (
        "proposed",
        "staged",
        "committed",
        "in force in one zone",
        "in force in all",
        "reported",
    )
]


def platform_clients(fleet: Fleet) -> tuple[ObjectApi, InstanceList]:
    """Returns the platform clients of a pipeline."""
    settings = PlatformSettings(
        object_api_url=fleet.store.url, instance_list_url=fleet.list.url
    )
    store = ObjectApi(settings=settings, instance="pipeline")
    return store, InstanceList(settings=settings, instance="pipeline")


class Pipeline:
    """Runs the rollout of the apply command step by step."""

    def __init__(self, *, fleet: Fleet, name: str, weight: float):
        manifest = fleet.manifest()
        manifest.teams[0].weight = weight
        store, instance_list = platform_clients(fleet)
        self.name = name
        self.rollout = ManifestRollout(
            manifest=manifest,
            store=store,
            instance_list=instance_list,
            timeout_s=APPLY_TIMEOUT_S,
        )

    def run(self, before_step=lambda stage: None) -> ApplyReport:
        """Runs until the rollout reports; calls `before_step` before each step."""
        rollout = self.rollout
        while True:
            before_step(rollout.stage)
            report = rollout.step()
            if report is not None:
                return report
            if rollout.clock() >= rollout.deadline:
                return rollout.give_up()
            time.sleep(0.03)


class GenerationSampler:
    """Samples the generation of each instance until it is stopped."""

    def __init__(self, *, context: FaultContext):
        self.context = context
        self.stopping = threading.Event()
        self.http = urllib3.PoolManager(retries=False, timeout=2.0, maxsize=8)
        self.threads = [
            threading.Thread(target=self._sample, args=(name,), daemon=True)
            for name in context.fleet.daemons
        ]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _sample(self, instance: str) -> None:
        while not self.stopping.wait(SAMPLE_INTERVAL_S):
            with contextlib.suppress(urllib3.exceptions.HTTPError, KeyError):
                self.context.history.record(
                    read_generation(self.context.fleet, instance)
                )


def read_generation(fleet: Fleet, instance: str) -> GenerationSeen:
    """Reads the generation of an instance, timestamped before the request is sent."""
    asked_at = time.monotonic()
    rollout = fleet.dump(instance)["rollout"]
    return GenerationSeen(
        at=asked_at,
        instance=instance,
        generation=rollout["generation"]["generation"],
        ready=rollout["readiness"]["ready"],
    )


class ManifestCell:
    """Rolls out a manifest with faults at one step.

    A second pipeline starts when the faults are injected, so that each cell also covers
    two concurrent rollouts.
    """

    def __init__(
        self, *, context: FaultContext, faults: list[Fault], step: Step, kind: str
    ):
        self.context = context
        self.faults = faults
        self.step = step
        self.injected = False
        self.competitor: threading.Thread | None = None

    @staticmethod
    def apply_first(fleet: Fleet) -> None:
        """Applies the first manifest of a fleet; raises if it is not accepted."""
        report = Pipeline(fleet=fleet, name="first", weight=1.0).run()
        if report.result is not ApplyResult.ACCEPTED:
            raise RuntimeError(
                f"first manifest not accepted: {report.result}, {report.zones}"
            )

    def run(self) -> list[str]:
        """Returns the problems that the history checkers don't cover."""
        sampler = GenerationSampler(context=self.context)
        sampler.start()
        try:
            report = self._roll_out()
            if self.step.name == "reported":
                self._inject()
            self.competitor.join()
            problems = self._converge()
            time.sleep(0.5)
        finally:
            sampler.stop()
        return problems + self._find_problems(report)

    def _find_problems(self, report: ApplyReport) -> list[str]:
        """Returns a problem if the result is not one that the faults permit.

        `pending` is permitted only for instances that a fault stopped or isolated.
        """
        if report.result in (ApplyResult.ACCEPTED, ApplyResult.LOST_RACE):
            return []
        instances = [item for zone in report.zones for item in zone.instances]
        pending = {item.instance for item in instances if item.state != "accepted"}
        if report.result is ApplyResult.PENDING and pending <= self._lost_instances():
            return []
        return [f"result {report.result}: {report.reason} {sorted(pending)}"]

    def _lost_instances(self) -> set[str]:
        if any(fault.loses_holder for fault in self.faults):
            return {self.context.target_instance}
        return set()

    def _roll_out(self) -> ApplyReport:
        pipeline = Pipeline(
            fleet=self.context.fleet, name="main", weight=1 + time.time() % 7
        )
        report = pipeline.run(
            before_step=lambda stage: self._inject_at_stage(pipeline, stage)
        )
        self._record(pipeline, report)
        if not self.injected and self.step.name != "reported":
            self._inject()
        return report

    def _record(self, pipeline: Pipeline, report: ApplyReport) -> None:
        result = ManifestResult(
            pipeline=pipeline.name,
            result=str(report.result),
            generation=report.generation,
            digest=report.digest,
        )
        self.context.history.record(result)

    def _inject_at_stage(self, pipeline: Pipeline, stage: Stage) -> None:
        if self.injected:
            return
        expected = {
            "proposed": Stage.STAGE,
            "staged": Stage.COMMIT,
            "committed": Stage.IN_FORCE,
            "in force in one zone": Stage.IN_FORCE,
            "in force in all": Stage.IN_FORCE,
        }
        if expected.get(self.step.name) is not stage:
            return
        wanted = {"in force in one zone": 1, "in force in all": 4}
        needed = wanted.get(self.step.name, 0)
        if needed:
            wait_until(lambda: self._count_in_force(pipeline) >= needed, timeout_s=3)
        self._inject()

    def _count_in_force(self, pipeline: Pipeline) -> int:
        generation = pipeline.rollout.generation
        fleet = self.context.fleet
        seen = [read_generation(fleet, name).generation for name in fleet.daemons]
        return sum(number >= generation for number in seen)

    def _inject(self) -> None:
        self.injected = True
        for fault in self.faults:
            fault.inject(self.context)
        hold_s = max(fault.hold_s for fault in self.faults)
        self.context.heal_after(hold_s, self._heal)
        self.competitor = threading.Thread(target=self._run_competitor, daemon=True)
        self.competitor.start()

    def _heal(self) -> None:
        self.context.heal()
        # The platform removes an instance that exited from the Instance list.
        for instance in self.context.killed_daemons:
            self.context.fleet.unregister(instance)

    def _run_competitor(self) -> None:
        competitor = Pipeline(
            fleet=self.context.fleet, name="rival", weight=10 + time.time() % 7
        )
        self._record(competitor, competitor.run())

    def _converge(self) -> list[str]:
        """Waits until all running instances serve the committed generation."""
        store, _ = platform_clients(self.context.fleet)

        def converged() -> bool:
            found = store.get("config/committed").value_or(None)
            if found is None:
                return False
            committed = msgspec.json.decode(found.value)["generation"]
            return all(number == committed for number in self._live_generations())

        if wait_until(converged, CONVERGE_TIMEOUT_S):
            return []
        return [f"instances did not converge: {self._live_generations()}"]

    def _live_generations(self) -> list[int]:
        fleet = self.context.fleet
        generations = []
        for name, daemon in fleet.daemons.items():
            if daemon.process.popen.poll() is None:
                try:
                    generations.append(read_generation(fleet, name).generation)
                except (urllib3.exceptions.HTTPError, KeyError):
                    generations.append(-1)
        return generations
