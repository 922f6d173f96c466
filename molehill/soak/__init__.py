"""Soak-tests one relay as a real process against stand-in hosts, platform and clients.

Faults are drawn from a seed, and an oracle checks what was observed. The daemon never imports this
package.
"""
