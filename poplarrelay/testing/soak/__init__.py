"""Randomized runs of real node processes under faults, with checks of the promises."""
