"""Start-up hook of Python that installs the fault shim in the dispatchers of a soak round."""

from weldquay.lab.soak import shim

shim.install_from_environment()
