"""Show the whole path: stand-ins, proxies, callers and failures."""
