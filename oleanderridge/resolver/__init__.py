"""Answers to callers that ask which hosts to use."""
