"""Reads settings files, validates them and applies defaults. An invalid file raises an error.

The platform's JSON file: `platform` reads it (start there), `json_checks` and `settings_schema` validate it,
and `decision_settings` converts it to the settings of the decision module. `process_limits` defines the
limits of the network code. INI files: `ini` reads a file by a schema, `peers_file` and `tls_file` define the
schemas, and `sharing_settings` and `tls_settings` hold the values. `addresses` parses the addresses in the
JSON file and the endpoint list.

The package keeps no state; a reload reads the files again.
"""
