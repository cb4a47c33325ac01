"""Store and clock in memory for the tests of leases and usage reports."""

import copy

import msgspec
from returns.result import Failure, Success

from lagoonrill._internal.protocol.errors import (
    StoreConflict,
    StoreInDoubt,
    StoreUnavailable,
)


class ManualClock:
    def __init__(self, now: float = 1_000.0):
        self.now = now

    def __call__(self) -> float:
        return self.now


class MemoryStore:
    """Lease and report objects; writes can be lost, late or without an answer."""

    def __init__(self):
        self.era = 1
        self.revision = 10
        self.leases: dict[str, object] = {}
        self.reports: dict[int, dict[str, int]] = {}
        self.counts: dict[str, list] = {}
        # How the next calls end: "ok", "down", "lost" (no answer, executed) or "late"
        # (no answer, executed by `execute_late`).
        self.mode = "ok"
        self.late: list = []
        self.calls: list[str] = []

    def read(self, name):
        return self._call("read", lambda: Success(self._lease(name)))

    def write(self, name, state, revision):
        def execute():
            found = self.leases.get(name)
            if (found.revision if found else None) != revision:
                return Failure(StoreConflict(message="another revision"))
            self.revision += 1
            self.leases[name] = msgspec.structs.replace(state, revision=self.revision)
            return Success(self._lease(name))

        return self._call("write", execute)

    def create_report(self, window, counts):
        def execute():
            if window in self.reports:
                return Failure(StoreConflict(message="exists"))
            self.revision += 1
            self.reports[window] = dict(counts)
            return Success(None)

        return self._call("create", execute)

    def read_report(self, window):
        return self._call("get", lambda: Success(self.reports.get(window)))

    def remove_report(self, window):
        def execute():
            self.reports.pop(window, None)
            return Success(None)

        return self._call("remove", execute)

    def write_counts(self, instance, usage):
        def execute():
            self.counts[instance] = copy.deepcopy(usage)
            return Success(None)

        return self._call("write_counts", execute)

    def read_counts(self):
        return self._call("list", lambda: Success(sum(self.counts.values(), [])))

    def copy(self):
        return copy.deepcopy((self.revision, self.leases, self.reports))

    def restore(self, kept) -> None:
        self.revision, self.leases, self.reports = copy.deepcopy(kept)
        self.era += 1

    def execute_late(self) -> None:
        late, self.late = self.late, []
        for execute in late:
            execute()

    def _lease(self, name):
        found = self.leases.get(name)
        return found and msgspec.structs.replace(found, era=self.era)

    def _call(self, call, execute):
        self.calls.append(call)
        if self.mode == "down":
            return Failure(StoreUnavailable(message="refused"))
        if self.mode == "late":
            self.late.append(execute)
            return Failure(StoreInDoubt(message="no answer"))
        result = execute()
        if self.mode == "lost":
            return Failure(StoreInDoubt(message="no answer"))
        return result
