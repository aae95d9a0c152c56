"""The site that most tests on real processes run against."""

import pytest

from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import run_site
from poplarrelay.testing.steps import QUICK


@pytest.fixture
def site():
    with run_site(small_site(engines=4), settings=QUICK) as running:
        yield running
