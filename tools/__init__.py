"""Development tools: code generation and the combined test verdict."""
