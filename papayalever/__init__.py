"""Global traffic steering between callers in several regions and backend servers."""

__version__ = "0.1.0"
