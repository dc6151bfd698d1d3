"""Membership of the instances, messages between them and the objects that they share."""
