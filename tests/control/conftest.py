import pytest
from control_cluster import ControlCluster
from rpc_pair import RpcPair


@pytest.fixture
def cluster(tmp_path):
    """Three started control processes with nothing decided."""
    cluster = ControlCluster(tmp_path, 3)
    cluster.start()
    return cluster


@pytest.fixture
def rpc_pair():
    """A client and a server of control's RPC; the server listens on loopback."""
    rpc_pair = RpcPair()
    yield rpc_pair
    rpc_pair.close()
