"""Reloading of the configuration on SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import os

from weldquay.net.config import ConfigError, reload
from weldquay.net.dispatcher_components import DispatcherComponents
from weldquay.net.lifecycle import Phase
from weldquay.net.persistence import StateFile

log = logging.getLogger(__name__)


class ConfigReloader:
    """Reloads the configuration, and saves the running one for the next process."""

    def __init__(self, components: DispatcherComponents) -> None:
        """Reload the configuration of these components."""
        self.components = components
        self.requested = asyncio.Event()
        self.saved_config = StateFile(components.config.name, ".config")

    def save(self) -> None:
        """Save the running configuration."""
        self.saved_config.write(self.components.config.document)

    async def run(self) -> None:
        """Reload when requested, in every phase from the start to the end of a drain."""
        lifecycle = self.components.lifecycle
        while True:
            await self.requested.wait()
            self.requested.clear()
            previous_phase = lifecycle.phase
            lifecycle.enter(Phase.RELOADING)
            self._reload()
            lifecycle.enter(previous_phase)

    def _reload(self) -> None:
        """Apply the file's configuration; if it is invalid, nothing changes."""
        try:
            config, restart_keys = reload(os.environ, self.components.config)
        except ConfigError as error:
            self._report_failure(error)
            return
        self.components.counters.add("reloads")
        self.components.reconfigure(config)
        self.save()
        if restart_keys:
            log.warning(
                "configuration reload ignored changes that need a restart: %s", ", ".join(restart_keys)
            )

    def _report_failure(self, error: ConfigError) -> None:
        self.components.counters.add("reloads_rejected")
        log.error("configuration reload failed, the configuration stays as it is: %s", error.advice())
