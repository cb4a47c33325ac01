"""The faults of a soak; each is a function that strikes, waits and heals."""

import random
import signal
import time

from bench.soak.history import STORE, Fault
from bench.soak.world import GRACE_S, World
from lagoonrill._internal.coordination.policy.registry import Registry

FAULTS = Registry(decision="fault")
# At most so many gateways are struck by signals at the same time.
MAX_SECONDS = 3.0


def strike(world: World, name: str, chance: random.Random) -> None:
    """Plays one fault to its end."""
    FAULTS.get(name)().play(world, chance)


class BaseFault:
    """Notes when the fault began and ended."""

    planned = False

    def play(self, world: World, chance: random.Random) -> None:
        target = self.choose(world, chance)
        fault = Fault(
            what=type(self).__name__,
            target=getattr(target, "name", str(target)),
            began_at=time.monotonic(),
            planned=self.planned,
        )
        world.history.add(fault)
        try:
            self.strike(world, target, chance.uniform(0.3, MAX_SECONDS))
        finally:
            fault.ended_at = time.monotonic()

    def choose(self, world: World, chance: random.Random):
        return chance.choice(world.gateways)

    def strike(self, world: World, target, seconds: float) -> None:
        raise NotImplementedError


@FAULTS.register("default", "kill")
class Kill(BaseFault):
    """SIGKILL, and a start after a while."""

    def strike(self, world: World, target, seconds: float) -> None:
        target.end()
        time.sleep(seconds / 3)
        target.start(world.seeds())


@FAULTS.register("pause")
class Pause(BaseFault):
    """The process stands still."""

    def strike(self, world: World, target, seconds: float) -> None:
        target.signal(signal.SIGSTOP)
        time.sleep(seconds)
        target.signal(signal.SIGCONT)


@FAULTS.register("stop")
class PlannedStop(BaseFault):
    """SIGTERM, and a start after the end."""

    planned = True

    def strike(self, world: World, target, seconds: float) -> None:
        process = target.process
        target.signal(signal.SIGTERM)
        process.wait(GRACE_S + 5)
        target.start(world.seeds())


@FAULTS.register("reload")
class Reload(BaseFault):
    """SIGHUP."""

    planned = True

    def strike(self, world: World, target, seconds: float) -> None:
        target.signal(signal.SIGHUP)


class StoreFault(BaseFault):
    """Something about the store."""

    def choose(self, world: World, chance: random.Random):
        return chance.choice([*world.store_links])


@FAULTS.register("store_link")
class StoreLink(StoreFault):
    """One gateway does not reach the store."""

    mode = "silent"

    def strike(self, world: World, target, seconds: float) -> None:
        world.store_links[target].set_mode(self.mode)
        time.sleep(seconds)
        world.store_links[target].set_mode("reset")
        world.store_links[target].set_mode("pass")


@FAULTS.register("store_answers")
class StoreAnswers(StoreLink):
    """The store's answers to one gateway are lost."""

    mode = "one_way"


@FAULTS.register("watch_cut")
class WatchCut(StoreFault):
    """The connections of one gateway to the store end, and new ones work at once."""

    def strike(self, world: World, target, seconds: float) -> None:
        world.store_links[target].set_mode("reset")
        world.store_links[target].set_mode("pass")


class WholeStoreFault(StoreFault):
    """Strikes all gateways."""

    def choose(self, world: World, chance: random.Random):
        return STORE


@FAULTS.register("store_down")
class StoreDown(WholeStoreFault):
    """The store refuses everybody."""

    def strike(self, world: World, target, seconds: float) -> None:
        world.store.refuse_with = 503
        time.sleep(seconds)
        world.store.refuse_with = 0


@FAULTS.register("history")
class HistoryDropped(WholeStoreFault):
    """The store forgets its changes."""

    def strike(self, world: World, target, seconds: float) -> None:
        world.store.drop_history()


class EndpointFault(BaseFault):
    """Something about an endpoint that takes work."""

    def choose(self, world: World, chance: random.Random):
        ready = [id for id in world.endpoints if id not in world.history.leaving]
        return chance.choice(ready)


@FAULTS.register("endpoint_resets")
class EndpointResets(EndpointFault):
    """An endpoint's connections are reset and new ones refused."""

    mode = "reset"

    def strike(self, world: World, target, seconds: float) -> None:
        _, proxy = world.endpoints[target]
        proxy.set_mode(self.mode)
        time.sleep(seconds)
        proxy.set_mode("reset")
        proxy.set_mode("pass")


@FAULTS.register("endpoint_silent")
class EndpointSilent(EndpointResets):
    """An endpoint's connections carry nothing any more."""

    mode = "silent"


@FAULTS.register("endpoint_one_way")
class EndpointOneWay(EndpointResets):
    """An endpoint works and nobody hears it."""

    mode = "one_way"


@FAULTS.register("endpoint_slow")
class EndpointSlow(EndpointResets):
    """An endpoint's bytes come late."""

    mode = "delay"


@FAULTS.register("endpoint_grey")
class EndpointGrey(EndpointFault):
    """An endpoint fails a part of its calls."""

    def strike(self, world: World, target, seconds: float) -> None:
        endpoint, _ = world.endpoints[target]
        endpoint.trouble = 0.4
        time.sleep(seconds)
        endpoint.trouble = 0.0


@FAULTS.register("endpoint_leaves")
class EndpointLeaves(EndpointFault):
    """An endpoint is replaced: another one starts, then it leaves."""

    planned = True

    def strike(self, world: World, target, seconds: float) -> None:
        endpoint, _ = world.endpoints[target]
        world.add_endpoint(endpoint.service)
        world.drain_endpoint(target)


@FAULTS.register("endpoint_vanishes")
class EndpointVanishes(EndpointFault):
    """An endpoint is replaced and leaves by the removal of its entry alone."""

    planned = True

    def strike(self, world: World, target, seconds: float) -> None:
        endpoint, _ = world.endpoints[target]
        world.add_endpoint(endpoint.service)
        world.remove_endpoint(target)


@FAULTS.register("configuration")
class NewConfiguration(WholeStoreFault):
    """The operator writes another version."""

    planned = True

    def strike(self, world: World, target, seconds: float) -> None:
        world.put_configuration()
