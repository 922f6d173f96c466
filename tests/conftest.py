"""What several test files start from."""
import pytest

from tests.place import Place


@pytest.fixture
def place(tmp_path):
    """One relay on loopback sockets with its other parties, closed at the end."""
    made = Place(tmp_path)
    yield made
    made.close()
