"""A proxy fleet for targets with gray failures."""

__version__ = '0.1.0'
