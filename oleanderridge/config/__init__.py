"""Bundle documents, their signatures and chunks, acceptance and relay."""
