"""Implements the command `molehill`, with one module for each subcommand.

The daemon never imports this package.
"""
