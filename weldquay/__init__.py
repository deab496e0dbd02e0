"""weldquay: a dispatcher that pushes jobs to match workers."""
