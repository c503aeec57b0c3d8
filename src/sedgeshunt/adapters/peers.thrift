// What proxies ask of each other, and operators of a proxy.

struct ProxyReport {
  1: string proxy
  2: string zone
  3: i64 revision
  4: bool stopping
  // A JSON document with groups, targets, limits and counts.
  5: binary document
}

struct PrimaryReport {
  1: string group
  2: i64 term
  3: optional string primary
  // Seconds since the newest status was asked for.
  4: optional double heard_ago
}

struct ConfigurationCopy {
  // False when the proxy has nothing newer; the rest is then missing.
  1: bool is_newer
  2: optional i64 revision
  3: optional binary document
}

service PeerService {
  ProxyReport report()
  PrimaryReport report_primary(1: string group)
  ConfigurationCopy copy_configuration(1: i64 known)
  void announce_leaving(1: string name)
  // Both sides are JSON documents.
  binary explain(1: binary question)
  // Counts of the last seconds, and copies; all when no proxy is named.
  list<binary> copy_tallies(1: double since, 2: list<string> proxies)
}
