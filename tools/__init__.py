"""Commands that set the project up and run its tests."""
