"""A fleet on one machine: real relay processes, stand-ins, and proxies between them.

It takes a scenario in the emulator's form (`--stage processes`), merges the histories of the
processes into one, and returns a verdict in the emulator's form with findings by property. The
relay imports nothing of this package; the package imports of the relay only what configurations are
written with. All addresses are in 127.0.0.0/8.
"""
