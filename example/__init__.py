"""A toy deployment for trying out weldquay."""
