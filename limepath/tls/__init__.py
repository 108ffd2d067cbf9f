"""TLS to servers: verification, session resumption, and replacement of certificates and keys in service.

The modules `sessions` (which session to offer), `admission` (when a handshake may start) and `material`
(whether certificates, keys and roots fit together) do no I/O. `interface` defines their events and commands;
`host` runs them on sockets.
"""
