"""All decisions of a front, free of input and output. Read `engine` first."""
