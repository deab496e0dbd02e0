"""Configuration: schema, strict parser, validation rules, and the code behind the `weldquay config` commands.

Only `reading.read_file`, `catalogue.load` and the commands do I/O.  The dispatcher imports only the modules
that it needs to start.
"""
