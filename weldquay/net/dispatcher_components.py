"""The components of one dispatcher process, shared by the modules that control its lifecycle."""

from __future__ import annotations

from weldquay.net.client_server import ClientServer
from weldquay.net.config import Config
from weldquay.net.counters import Counters
from weldquay.net.discovery_client import DiscoveryClient
from weldquay.net.lifecycle import Lifecycle
from weldquay.net.readiness import Readiness
from weldquay.net.request_coordinator import RequestCoordinator
from weldquay.net.tasks import Tasks
from weldquay.net.worker_client import HttpWorkerClient


class DispatcherComponents:
    """The configuration, lifecycle, coordinator, servers and clients of one process."""

    def __init__(self, config: Config) -> None:
        """Create the components in a running event loop; no socket is opened and nothing is sent."""
        self.config = config
        self.lifecycle = Lifecycle(config.name)
        self.counters = Counters()
        self.tasks = Tasks()
        self.coordinator = RequestCoordinator(config, self.counters)
        self.readiness = Readiness(self.lifecycle, self.coordinator)
        self.workers = HttpWorkerClient(config, self.counters, self.coordinator)
        self.discovery = DiscoveryClient(config, self.coordinator)
        self.server = ClientServer(config, self.counters, self.coordinator, self.readiness.is_serving)

    def reconfigure(self, config: Config) -> None:
        """Use a new configuration in all components."""
        self.config = config
        self.discovery.reconfigure(config)
        self.coordinator.reconfigure(config)
        self.server.reconfigure(config)
        self.workers.reconfigure(config)
