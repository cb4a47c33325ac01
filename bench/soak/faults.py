"""Faults of a soak test; each is a class that injects a fault and reverts it."""

import contextlib
import math
import random
import signal
import socket
import threading
import time

import msgspec

from bench.soak.checks import DRAIN_S, LIMIT_KNOWN_S, LIMIT_WINDOW_S, STORE
from bench.soak.environment import GRACE_S, SoakEnvironment
from bench.soak.history import Fault
from lagoonrill._internal.coordination.policy.registry import Registry
from lagoonrill.platform._headers import VOCABULARY

FAULTS = Registry(decision="fault")
# Longest duration of a fault.
MAX_FAULT_S = 3.0
# Age of the copy from which the store comes back while gateways restart.
MAX_COPY_AGE_S = 6.0
# Time for endpoints to become known to all gateways.
JOIN_S = 0.8
# Share of the writes that get no answer, and after what time they are executed.
LATE_SHARE = 0.35
LATE_S = (1.0, 6.0)
HELD_UPLOADS = 20
UPLOAD_BYTES = 1_000_000
# Pieces of JSON strings: escapes, halves of characters, bytes that are no UTF-8.
ODD_PIECES = (
    b"v1",
    rb"\\",
    b"ud83d",
    rb"\ud83d",
    rb"\ude00",
    rb"\u0000",
    b"\xff",
    b"\xed\xa0\xbd",
)


def inject(environment: SoakEnvironment, name: str, rng: random.Random) -> None:
    """Injects one fault and waits until it is reverted."""
    FAULTS.get(name)().run(environment, rng)


class BaseFault:
    """Records when the fault began and ended."""

    planned = False

    def run(self, environment: SoakEnvironment, rng: random.Random) -> None:
        target = self.choose(environment, rng)
        fault = Fault(
            what=type(self).__name__,
            target=getattr(target, "name", str(target)),
            began_at=time.monotonic(),
            planned=self.planned,
        )
        environment.history.add(fault)
        try:
            self.inject(environment, target, rng.uniform(0.3, MAX_FAULT_S))
        finally:
            fault.ended_at = time.monotonic()

    def choose(self, environment: SoakEnvironment, rng: random.Random):
        return rng.choice(environment.gateways)

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        raise NotImplementedError


@FAULTS.register("default", "kill")
class Kill(BaseFault):
    """Kills a gateway and restarts it after a delay."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        target.end()
        time.sleep(seconds / 3)
        target.start(environment.seeds())


@FAULTS.register("pause")
class Pause(BaseFault):
    """Suspends a gateway with SIGSTOP."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        target.signal(signal.SIGSTOP)
        time.sleep(seconds)
        target.signal(signal.SIGCONT)


@FAULTS.register("stop")
class PlannedStop(BaseFault):
    """Stops a gateway with SIGTERM and restarts it after its exit."""

    planned = True

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        process = target.process
        target.signal(signal.SIGTERM)
        process.wait(GRACE_S + 5)
        target.start(environment.seeds())


@FAULTS.register("reload")
class Reload(BaseFault):
    """Reloads the settings of a gateway with SIGHUP."""

    planned = True

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        target.signal(signal.SIGHUP)


class StoreFault(BaseFault):
    """Base class of faults between one gateway and the store."""

    def choose(self, environment: SoakEnvironment, rng: random.Random):
        return rng.choice([*environment.store_links])


@FAULTS.register("store_link")
class StoreLink(StoreFault):
    """Blocks the traffic between one gateway and the store."""

    mode = "silent"

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        environment.store_links[target].set_mode(self.mode)
        time.sleep(seconds)
        environment.store_links[target].set_mode("reset")
        environment.store_links[target].set_mode("pass")


@FAULTS.register("store_answers")
class StoreAnswers(StoreLink):
    """Blocks the responses of the store to one gateway."""

    mode = "one_way"


@FAULTS.register("watch_cut")
class WatchCut(StoreFault):
    """Closes the connections of one gateway to the store; new ones work at once."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        environment.store_links[target].set_mode("reset")
        environment.store_links[target].set_mode("pass")


class WholeStoreFault(StoreFault):
    """Base class of store faults that affect all gateways."""

    def choose(self, environment: SoakEnvironment, rng: random.Random):
        return STORE


@FAULTS.register("store_down")
class StoreDown(WholeStoreFault):
    """The store answers all calls with 503."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        environment.store.refusal_status = 503
        time.sleep(seconds)
        environment.store.refusal_status = 0


@FAULTS.register("store_silence")
class StoreSilence(WholeStoreFault):
    """The store answers nothing while objects change, and recovers by itself.

    Connections stay open; one on which an answer was lost delivers nothing afterwards.
    """

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        environment.store.silent = True
        time.sleep(seconds / 2)
        environment.put_configuration()
        time.sleep(seconds / 2)
        environment.store.silent = False


@FAULTS.register("history")
class HistoryDropped(WholeStoreFault):
    """The store discards its change history."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        environment.store.drop_history()


@FAULTS.register("store_restored")
class StoreRestored(WholeStoreFault):
    """The store goes back to a copy; its writers write again what was lost."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        environment.put_configuration()
        time.sleep(seconds / 3)
        environment.store.refusal_status = 503
        time.sleep(seconds / 3)
        environment.store.restore(seconds)
        environment.put_configuration()
        environment.store.refusal_status = 0
        time.sleep(seconds / 3)
        environment.write_entries_again()


@FAULTS.register("store_late")
class StoreLate(WholeStoreFault):
    """The store executes a third of the writes late, and never answers them."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        rng = random.Random(seconds)
        environment.store.late_s = lambda kind: (
            rng.uniform(*LATE_S) if rng.random() < LATE_SHARE else None
        )
        time.sleep(seconds)
        environment.store.late_s = lambda kind: None


@FAULTS.register("store_turns_away")
class StoreTurnsAway(StoreFault):
    """The store turns a gateway away, and that gateway is stopped or killed."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        gateway = next(item for item in environment.gateways if item.name == target)
        environment.store_links[target].set_mode("reset")
        time.sleep(seconds / 2)
        if seconds < MAX_FAULT_S / 2:
            gateway.end()
        else:
            gateway.signal(signal.SIGTERM)
            gateway.process.wait(GRACE_S + 5)
        environment.store_links[target].set_mode("pass")
        gateway.start(environment.seeds())


@FAULTS.register("odd_entry")
class OddEntry(WholeStoreFault):
    """Another writer leaves an entry with odd bytes in one field."""

    planned = True

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        rng = random.Random(seconds)
        text = b"".join(rng.choices(ODD_PIECES, k=6))
        field = rng.choice(("Version", "Service", "Zone", "State", "Address"))
        environment.write_odd_entry({field: msgspec.Raw(b'"%b"' % text)})


class EndpointFault(BaseFault):
    """Base class of faults of an endpoint that is not leaving."""

    def choose(self, environment: SoakEnvironment, rng: random.Random):
        ready = [
            id for id in environment.endpoints if id not in environment.history.leaving
        ]
        return rng.choice(ready)


@FAULTS.register("endpoint_resets")
class EndpointResets(EndpointFault):
    """Closes the connections of an endpoint, and new ones as they are opened."""

    mode = "reset"

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        _, proxy = environment.endpoints[target]
        proxy.set_mode(self.mode)
        time.sleep(seconds)
        proxy.set_mode("reset")
        proxy.set_mode("pass")


@FAULTS.register("endpoint_silent")
class EndpointSilent(EndpointResets):
    """Blocks the connections of an endpoint in both directions."""

    mode = "silent"


@FAULTS.register("endpoint_one_way")
class EndpointOneWay(EndpointResets):
    """Blocks the responses of an endpoint."""

    mode = "one_way"


@FAULTS.register("endpoint_slow")
class EndpointSlow(EndpointResets):
    """Delays the traffic of an endpoint."""

    mode = "delay"


@FAULTS.register("endpoint_grey")
class EndpointGrey(EndpointFault):
    """An endpoint fails 40% of its calls."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        endpoint, _ = environment.endpoints[target]
        endpoint.failure_rate = 0.4
        time.sleep(seconds)
        endpoint.failure_rate = 0.0


@FAULTS.register("endpoint_pauses")
class EndpointPauses(EndpointFault):
    """An endpoint turns requests away and asks for a pause that outlasts the fault."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        endpoint, _ = environment.endpoints[target]
        endpoint.pause_s = 1.5 * seconds
        time.sleep(seconds)
        endpoint.pause_s = 0.0


@FAULTS.register("endpoint_limit")
class EndpointLimit(EndpointFault):
    """An endpoint names a limit on its requests, lowers it, and takes it back."""

    planned = True

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        for limit in (4.0, 1.5):
            named = environment.limit_endpoint(target, limit)
            time.sleep(LIMIT_KNOWN_S + LIMIT_WINDOW_S + seconds)
            environment.end_limit(named)


@FAULTS.register("endpoint_leaves")
class EndpointLeaves(EndpointFault):
    """Replaces an endpoint: a new one is started, then the old one drains."""

    planned = True

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        endpoint, _ = environment.endpoints[target]
        environment.add_endpoint(endpoint.service)
        environment.drain_endpoint(target)


@FAULTS.register("endpoint_says_it_leaves")
class EndpointSaysItLeaves(EndpointFault):
    """An endpoint says in its answers that it leaves, and later in the store."""

    planned = True

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        endpoint, _ = environment.endpoints[target]
        environment.add_endpoint(endpoint.service)
        endpoint.leaving = True
        time.sleep(DRAIN_S + seconds)
        environment.drain_endpoint(target)


@FAULTS.register("endpoint_release")
class EndpointRelease(EndpointFault):
    """Replaces half of a service's endpoints by those of another software version.

    Versions take turns, so that one may come back.
    """

    planned = True

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        endpoint, _ = environment.endpoints[target]
        environment.release_half(endpoint.service, pause_s=seconds / 10)


@FAULTS.register("single_version_crashes")
class SingleVersionCrashes(EndpointFault):
    """The only engine of a version crashes; others register before it is back.

    Its streams wait for their version while engines of another one have room.
    """

    def choose(self, environment: SoakEnvironment, rng: random.Random):
        service = "models"
        ready = [
            endpoint
            for id, (endpoint, _) in environment.endpoints.items()
            if endpoint.service == service and id not in environment.history.leaving
        ]
        return rng.choice(ready).id

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        endpoint, _ = environment.endpoints[target]
        environment.next_release()
        single = environment.add_endpoint(endpoint.service)
        version = environment.endpoints[single][0].version
        time.sleep(JOIN_S + seconds / 3)
        environment.endpoints[single][1].close()
        added = []
        for _ in range(2):
            time.sleep(seconds / 6)
            added.append(
                environment.add_endpoint(endpoint.service, version=endpoint.version)
            )
        time.sleep(seconds / 6)
        environment.remove_endpoint(single)
        time.sleep(seconds / 6)
        added.append(environment.add_endpoint(endpoint.service, version=version))
        time.sleep(JOIN_S)
        for id in added:
            environment.drain_endpoint(id)


@FAULTS.register("deadly_request")
class DeadlyRequest(WholeStoreFault):
    """A request that crashes each endpoint that runs it comes again and again."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        for _ in range(3):
            before = set(environment.history.crashed())
            environment.send_deadly("ask")
            time.sleep(seconds / 3)
            for id in environment.history.crashed() - before:
                environment.add_endpoint(environment.endpoints[id][0].service)
                environment.remove_endpoint(id)


@FAULTS.register("kill_all")
class KillAll(BaseFault):
    """Kills all gateways at once and restarts them after a delay."""

    def choose(self, environment: SoakEnvironment, rng: random.Random):
        return STORE

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        for gateway in environment.gateways:
            gateway.end()
        time.sleep(seconds / 3)
        for gateway in environment.gateways:
            gateway.start(environment.seeds())


class RestartBesideVersions(KillAll):
    """Base class of faults that kill gateways while the store is away.

    Half of the engines get another software version first, and the killed gateways
    start again at any moment, before the store is back or after.
    """

    # Smallest share of the gateways that are killed.
    least_share = 1.0

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        rng = random.Random(seconds)
        environment.release_half("models")
        time.sleep(JOIN_S)
        environment.store.refusal_status = 503
        time.sleep(rng.uniform(0, seconds / 2))
        gateways = environment.gateways
        least = math.ceil(self.least_share * len(gateways))
        killed = rng.sample(gateways, rng.randint(least, len(gateways)))
        for gateway in killed:
            gateway.end()
        starter = threading.Timer(
            rng.uniform(0, seconds),
            lambda: [gateway.start(environment.seeds()) for gateway in killed],
        )
        starter.start()
        time.sleep(seconds / 2)
        self.bring_back(environment, rng)
        environment.store.refusal_status = 0
        starter.join()
        environment.write_entries_again()

    def bring_back(self, environment: SoakEnvironment, rng: random.Random) -> None:
        """Prepares the store for its return."""


@FAULTS.register("kill_all_in_outage")
class KillAllInOutage(RestartBesideVersions):
    """Kills all gateways in an outage of the store."""


@FAULTS.register("restart_around_restore")
class RestartAroundRestore(RestartBesideVersions):
    """Kills gateways while the store is away, and it comes back from an older copy."""

    least_share = 0.2

    def bring_back(self, environment: SoakEnvironment, rng: random.Random) -> None:
        environment.store.restore(rng.uniform(0.5, MAX_COPY_AGE_S))
        environment.put_configuration()


@FAULTS.register("endpoint_vanishes")
class EndpointVanishes(EndpointFault):
    """Replaces an endpoint whose entry is removed without a draining state."""

    planned = True

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        endpoint, _ = environment.endpoints[target]
        environment.add_endpoint(endpoint.service)
        environment.remove_endpoint(target)


@FAULTS.register("configuration")
class NewConfiguration(WholeStoreFault):
    """Writes a new version of the configuration."""

    planned = True

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        environment.put_configuration()


@FAULTS.register("api_down")
class ApiDown(WholeStoreFault):
    """The platform's API refuses all calls."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        environment.api.refusal_status = 503
        time.sleep(seconds)
        environment.api.refusal_status = 0


@FAULTS.register("api_late")
class ApiLate(WholeStoreFault):
    """Calls to the platform's API get no answer and are executed late."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        environment.api.late_s = seconds
        time.sleep(seconds)
        environment.api.late_s = None


@FAULTS.register("held_uploads")
class HeldUploads(BaseFault):
    """Callers announce a body, send a part of it, and read nothing."""

    def inject(self, environment: SoakEnvironment, target, seconds: float) -> None:
        with contextlib.ExitStack() as opened:
            for _ in range(HELD_UPLOADS):
                with contextlib.suppress(OSError):
                    sock = socket.create_connection(("127.0.0.1", target.port), 1)
                    opened.enter_context(sock)
                    sock.settimeout(1)
                    head = (
                        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
                        f"Authorization: {VOCABULARY.key_scheme} key-1\r\n"
                        f"Content-Length: {UPLOAD_BYTES}\r\n\r\n"
                    )
                    sock.sendall(head.encode() + bytes(UPLOAD_BYTES // 2))
            time.sleep(seconds)
