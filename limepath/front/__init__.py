"""The real front: the decision module on sockets, one file a job, named by the peer that it speaks to."""
