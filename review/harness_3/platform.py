"""Stand-in of the platform where it runs the processes of the system."""

import signal
import threading

from review.harness_3.clients import Record
from review.harness_3.fleet import Gateway

RESTART_DELAY_S = 0.5
WATCH_INTERVAL_S = 0.05
# Rule Fault: on two machines, processes end by themselves three times.
MACHINES, ENDS = 2, 3


class Platform:
    """Ends processes over their memory, and starts ended ones again.

    DEPLOY.md: "A process that exceeds `MemoryMb` is killed", and "a process that exits
    or is killed is restarted after a short delay".
    """

    def __init__(self, *, gateways: list[Gateway], memory_mb: int, record: Record):
        self.gateways = gateways
        self.memory_limit_mb = memory_mb
        self.record = record
        self.ends = dict.fromkeys((item.name for item in gateways), 0)
        self.most_mb = dict.fromkeys(self.ends, 0.0)
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._watch, args=(gateway,), daemon=True)
            for gateway in gateways
        ]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _watch(self, gateway: Gateway) -> None:
        while not self.stopping.wait(WATCH_INTERVAL_S):
            memory_mb = gateway.memory_mb()
            self.most_mb[gateway.name] = max(self.most_mb[gateway.name], memory_mb)
            if memory_mb > self.memory_limit_mb:
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
                reason = "memory"
            elif gateway.exit_status() is None:
                continue
            else:
                reason = f"status {gateway.exit_status()}"
            self.ends[gateway.name] += 1
            self.record.add(
                "process_ended",
                gateway=gateway.name,
                reason=reason,
                memory_mb=round(memory_mb, 1),
                ends=self.ends[gateway.name],
            )
            if not self.stopping.wait(RESTART_DELAY_S):
                gateway.start([item.peer for item in self.gateways[:3]])

    def is_rule_broken(self) -> bool:
        """Returns whether processes have ended often enough for rule Fault."""
        often = [name for name, count in self.ends.items() if count >= ENDS]
        return len(often) >= MACHINES
