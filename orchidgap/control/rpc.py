"""The RPC client under its earlier name, until its last caller has moved."""

from orchidgap.control.rpc_client import RpcClient as RpcClient
