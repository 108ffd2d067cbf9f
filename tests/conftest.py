pytest_plugins = ["tests.known_red", "pytester"]
