"""A fleet on one machine: real relay processes, stand-ins and cables between them, one history, one verdict.

Handed: a scenario of the emulator's form, with `--stage processes`. Handed back: a verdict of the emulator's form, with findings by
property. The daemon imports nothing of it; it imports of the daemon only what configurations are written by. All is on 127.0.0.0/8.
"""
