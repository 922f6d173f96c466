"""Tells which relays of a fleet are alive.

`member.py` is the pure state machine that makes all decisions: given messages, the time and one
random source, it returns messages and a view of the fleet. `codec.py` encodes its messages,
`service.py` runs it on the scheduler. The package is imported only if the configuration has a
`fleet` section; otherwise membership is off.
"""
