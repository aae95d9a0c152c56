"""Fixture of the site that most tests on real processes use."""

import pytest

from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import run_site
from poplarrelay.testing.steps import SHORT_TIMEOUTS


@pytest.fixture
def site():
    with run_site(small_site(engines=4), settings=SHORT_TIMEOUTS) as running:
        yield running
