"""Adapter for the users' platform: header names, formats and store calls."""
