"""Selection of engine chains for model requests and of targets for plain services."""
