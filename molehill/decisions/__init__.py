"""The decisions of a relay: which callback is sent where and when, retried, rejected or failed.

`dispatcher.Dispatcher` connects the modules of this package and passes events to them. The package
has no clock and does no input or output.
"""
