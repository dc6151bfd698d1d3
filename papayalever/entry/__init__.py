"""An entry instance on many small machines: callers on one side, backend servers on the other."""
