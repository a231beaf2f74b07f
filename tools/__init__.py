"""Commands that set up the environment, run the tests and generate pages."""
