"""Settings of all tests."""

from hypothesis import HealthCheck, settings

# A busy machine makes examples and their generation slow. Tests state the times that
# matter themselves.
settings.register_profile(
    "any load", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("any load")
