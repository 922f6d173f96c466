"""Who is there among the relays of one fleet: handed messages, time and one Random; hands back messages, and a view.

`member.py` is the pure module (all decisions), `codec.py` its bytes, `service.py` its place on the project's scheduler. Off unless `fleet`
stands in the configuration, and then only imported.
"""
