"""The decisions of a relay: which callback is launched where and when, repeated, rejected or failed.

`dispatcher.Dispatcher` ties the modules of this package together by events. It has no clock, input or output.
"""
