Feature: Frames between proxies
  The classes of frames are generated from the schema once, not at each start of
  a proxy.

  Scenario: The generated classes match the schema
    A field of the schema that the classes lack would be dropped by the sender
    without an error.
    When the classes are generated from the schema again
    Then they equal the classes in use

  Scenario: A start loads no modules that it does not need
    Callers can't connect until a proxy has started, so the metrics page and the
    schema parser are loaded only when they are used.
    When a proxy's program is loaded
    Then it has loaded none of "prometheus_client, thriftpy2, ply, http, email"
