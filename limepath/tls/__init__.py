"""TLS to servers: verified, resumed, with certificates and keys that change in service.

So far its decisions, free of I/O: `sessions` (which one to offer), `admission` (who may shake hands when,
which server is left alone), and `material` (whether certificates, keys and trust fit together). Read
`interface` first.
"""
