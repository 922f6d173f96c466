"""A soak of one relay as a real process: stand-in hosts, platform and clients, faults drawn from a seed, and an oracle.

Never imported by the daemon.
"""
