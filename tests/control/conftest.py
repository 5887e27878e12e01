import pytest
from control_cluster import ControlCluster
from rpc_ends import Ends


@pytest.fixture
def cluster(tmp_path):
    """Three control processes that have begun with nothing decided."""
    cluster = ControlCluster(tmp_path, 3)
    cluster.start()
    return cluster


@pytest.fixture
def ends():
    """A client and a server of control's RPC that listens on loopback."""
    ends = Ends()
    yield ends
    ends.close()
