"""A seeded soak test: several dispatcher processes run under load, signals and faults, and are checked.

    python -m weldquay.lab.soak --seed 7          # one round
    python -m weldquay.lab.soak --seeds 50        # rounds 1 to 50, three in parallel

The plan of a round depends only on its seed (`plan`).  `stand_ins` has the workers and discovery, `clients`
the load generator, `processes` the dispatchers, `checks` the checked rules; `round` executes a plan.
"""
