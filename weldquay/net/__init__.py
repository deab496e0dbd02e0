"""The dispatcher process: runs the decision module on real sockets."""
