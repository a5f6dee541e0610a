"""The thrift interface between entry instances, and the peer server and clients."""
