"""Stand-ins and helpers of the tests."""
