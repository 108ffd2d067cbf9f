"""Settings: read, checked and given defaults here and nowhere else. A file that cannot be used is an error.

The platform's JSON: `platform` reads it (begin there), `json_checks` and `settings_schema` check it, and
`decision_settings` turns it into the settings of the decision module. `process_limits` holds the limits of
the network code. INI files: `ini` reads them by a schema, `peers_file` and `tls_file` say what may stand in
them, and `sharing_settings` and `tls_settings` hold the result. `addresses` parses addresses of both.

No state is kept here; a reload reads the files again.
"""
