"""The components of one dispatcher process, shared by the modules that control its lifecycle."""

from __future__ import annotations

from weldquay.net.buffer_budget import BufferBudget
from weldquay.net.client_server import ClientServer
from weldquay.net.config import Config
from weldquay.net.counters import Counters
from weldquay.net.discovery_client import DiscoveryClient
from weldquay.net.lifecycle import Lifecycle
from weldquay.net.memory_plan import plan_memory
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
        plan = plan_memory(config.memory_mb, config.sockets, len(config.known.endpoints))
        buffers = BufferBudget(plan.buffered_bytes)  # of connections to workers, too
        self.workers = HttpWorkerClient(config, self.counters, self.coordinator, buffers)
        self.discovery = DiscoveryClient(config, self.coordinator)
        self.server = ClientServer(
            config, self.counters, self.coordinator, self.readiness.is_serving, buffers
        )

    def describe_memory(self) -> str:
        """Return what holds memory in this process, as one line."""
        table, context = self.server.table, self.server.context
        states = ", ".join(f"{state.value} {len(found)}" for state, found in table.by_state.items())
        endpoint_list = self.coordinator.endpoint_list
        return (
            f"{len(table.connections)} client connections ({states}) of {table.max_connections}, "
            f"{context.buffer_budget.used_bytes} buffered bytes of {context.buffer_budget.max_bytes}, "
            f"{context.read_ahead_budget.used_bytes} of them read ahead, "
            f"{len(self.coordinator.requests)} requests, {len(self.coordinator.attempts)} attempts, "
            f"{self.workers.connections.open_connections} worker connections, "
            f"{len(endpoint_list.worker_numbers)} known workers, "
            f"{len(context.recent_request_ids) + len(context.peer_request_ids)} recent ids"
        )

    def reconfigure(self, config: Config) -> None:
        """Use a new configuration in all components."""
        self.config = config
        self.discovery.reconfigure(config)
        self.coordinator.reconfigure(config)
        self.server.reconfigure(config)
        self.workers.reconfigure(config)
