"""Forward calls between proxies and exchange heartbeats."""
