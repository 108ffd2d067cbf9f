"""limepath: a caching reverse proxy for large objects behind links of low bandwidth."""
