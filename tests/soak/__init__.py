"""A randomized soak: real entry processes under faults injected from outside."""
