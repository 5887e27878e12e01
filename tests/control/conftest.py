import pytest
from control_cluster import ControlCluster


@pytest.fixture
def cluster(tmp_path):
    """Three control processes that have begun with nothing decided."""
    cluster = ControlCluster(tmp_path, 3)
    cluster.start()
    return cluster
