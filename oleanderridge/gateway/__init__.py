"""Gateway host: discovers peers through seeds and reads the platform store."""
