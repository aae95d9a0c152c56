"""Small stand-ins for the platform and the back ends.

They speak the interfaces that the nodes use and misbehave on request: each takes
its faults as JSON by ``PUT /faults``. They keep everything in memory.
"""
