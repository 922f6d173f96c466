"""Run whole relays on a virtual clock, with stand-ins for all other parties and scripted faults.

A scenario (plain data, `scenario.py`) goes in; a verdict comes out (`run.py`): the rules that were
broken, the service, and a digest of every event. There is one thread, one seed and one clock, and
nothing here reads the machine on which it runs.
"""
