"""All stand-ins of one deployment, wired together."""

from attrs import frozen

from celeryfork_standin.deployment import Deployment
from celeryfork_standin.engine import EngineFleet, make_engine_fleet
from celeryfork_standin.platform import PlatformStandin, make_platform
from celeryfork_standin.service import ServiceFleet, make_service_fleet

CONFIGURATION_STREAM = "configuration"


@frozen
class Standins:
    """The running stand-ins of a deployment."""

    deployment: Deployment
    platform: PlatformStandin
    engines: EngineFleet
    services: ServiceFleet

    def start(self) -> None:
        """Start everything, and publish the deployment's configuration."""
        self.platform.start()
        for record in self.deployment.configuration:
            self.platform.log.append(CONFIGURATION_STREAM, record.to_json())
        for engine in self.deployment.engine_specs():
            self.engines.add(engine)
        for service in self.deployment.service_specs():
            self.services.add(service)

    def isolate(self, domain: str, *, from_platform: bool) -> None:
        """Cut one failure domain off from the others' targets.

        Parameters
        ----------
        from_platform
            Whether the platform is out of its reach too.
        """
        others = [one for one in self.deployment.domains if one != domain]
        self.engines.partition([domain], others)
        self.platform.cut_off(domain, from_platform)

    def heal(self) -> None:
        """End every partition."""
        self.engines.heal()
        for domain in self.deployment.domains:
            self.platform.cut_off(domain, False)

    def stop(self) -> None:
        """Cut every connection and stop every thread."""
        self.engines.stop()
        self.services.stop()
        self.platform.stop()


def make_standins(
    deployment: Deployment, *, port: int = 0, seed: int | None = None
) -> Standins:
    """Return the stand-ins of a deployment, not started yet.

    Parameters
    ----------
    port
        The platform's port; 0 takes a free one.
    seed
        Seed of every random choice; None takes the deployment's.
    """
    chosen = deployment.seed if seed is None else seed
    bounds = deployment.platform
    platform = make_platform(
        seed=chosen,
        port=port,
        retention_s=bounds.retention_s,
        appends_per_second=bounds.appends_per_second,
        weight_bytes_per_second=bounds.weight_bytes_per_second,
        client_domains=deployment.domains,
    )
    engines = make_engine_fleet(
        chosen,
        deployment.latency_s_by_pair,
        instances=platform.instances,
        weights=platform.weights,
        poison_marker=deployment.poison_marker,
        client_domains=deployment.domains,
    )
    services = make_service_fleet(
        chosen,
        instances=platform.instances,
        links=engines.links,
        client_domains=deployment.domains,
    )
    return Standins(deployment, platform, engines, services)
