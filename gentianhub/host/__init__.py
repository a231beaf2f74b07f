"""One host of a deployment on the users' platform."""
