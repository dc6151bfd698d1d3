"""Configuration by the operators: file format, validation, distribution and activation."""
