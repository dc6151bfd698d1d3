"""Membership and shared objects of the instances."""
