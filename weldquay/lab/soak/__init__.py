"""A seeded soak: several dispatcher processes under load, signals and faults, checked against the rules.

    python -m weldquay.lab.soak --seed 7          # one round
    python -m weldquay.lab.soak --seeds 50        # the rounds 1 to 50, three at a time

A seed alone gives the plan of a round (`plan`).  `stand_ins` has the workers and discovery, `clients` the
load, `processes` the dispatchers, `checks` the rules, and `round` plays a plan.
"""
