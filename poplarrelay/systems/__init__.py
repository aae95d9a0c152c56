"""Systems of a node: plain functions over the tables, the inbox and the time.

A system does no I/O, reads no clock and draws random numbers only from the generator
that it is given. Each system can therefore be embedded or tested without the daemon.
"""
