"""A seeded soak test: several dispatcher processes run under load, signals and faults, and are checked.

    python -m weldquay.lab.soak --seed 7          # one round
    python -m weldquay.lab.soak --seeds 50        # rounds 1 to 50, three in parallel
    python -m weldquay.lab.soak --misuse --seed 7 # a round with misbehaving clients and failing calls

The plan of a round depends only on its seed (`plan`).  `stand_ins` has the workers and discovery, `clients`
the load generator, `misuse` the misbehaving clients and kills, `shim` the failing system calls and the
stepped clock, `processes` the dispatchers, `checks` the checked rules; `round` executes a plan.
"""
