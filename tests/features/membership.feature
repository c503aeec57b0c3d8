Feature: A proxy tracks which instances are live, leaving or unreachable

  Scenario: The list lags behind a target that leaves
    Guards against trusting an outdated line of the list. The list shows
    "leaving", then an old copy shows "live" again for a minute, which is
    shorter than the list may lag: the target gets no new work in between.
    Given 1 proxy runs and the list shows all targets as live
    When the list shows target "ada" as leaving for 2 seconds
    Then all proxies give target "ada" no new work within 2 seconds
    When the list shows target "ada" as live for 60 seconds
    Then all proxies give target "ada" no new work within 0 seconds
    When the list shows target "ada" as live for 130 seconds
    Then all proxies give target "ada" work within 2 seconds

  Scenario: A proxy learns that a target leaves before the list shows it
    Direct evidence takes precedence over the list, which shows the target as
    live for some more seconds.
    Given 6 proxies run and the list shows all targets as live
    When proxy "p0" announces that "bob" is leaving
    Then all proxies give target "bob" no new work within 1 seconds
    When the list shows target "bob" as live for 30 seconds
    Then all proxies give target "bob" no new work within 0 seconds

  Scenario: An operator marks a target as leaving by its label
    Given 6 proxies run and the list shows all targets as live
    When target "cyd" gets the label state of "leaving"
    Then all proxies give target "cyd" no new work within 2 seconds
    When target "cyd" gets the label state of "nothing"
    Then all proxies give target "cyd" work within 2 seconds

  Scenario: The list is unreachable after it showed outdated lines
    The time without a list does not count: the target gets no new work until
    listings from after the outage have shown it live for long enough.
    Given 1 proxy runs and the list shows all targets as live
    When the list shows target "ada" as leaving for 2 seconds
    And the list shows target "ada" as live for 60 seconds
    And the list is unreachable for 100 seconds
    And the list shows target "ada" as live for 60 seconds
    Then all proxies give target "ada" no new work within 0 seconds

  Scenario: A proxy restarts under its name
    Its peers count it as lost from its own announcement on, and as live again
    from its own report. The list shows it as live all the time.
    Given 6 proxies run and the list shows all targets as live
    When peer "p1" announces that it stops, and stops
    Then the other proxies count "p1" as lost within 1 seconds
    When peer "p1" restarts
    Then the other proxies count "p1" as live within 8 seconds

  Scenario: A proxy crashes without an announcement
    Refused connections are direct evidence: its peers count it as lost long
    before the list shows it.
    Given 6 proxies run and the list shows all targets as live
    When peer "p2" crashes
    Then the other proxies count "p2" as lost within 3 seconds

  Scenario: An availability zone is partitioned off
    Operators see in the log that a zone is unreachable, not that two proxies
    crashed, and also that it is reachable again.
    Given 6 proxies run and the list shows all targets as live
    When the peers in "east" and "north" are partitioned from each other
    Then proxy "p0" logs of zone "north" within 5 seconds "no proxy answers"
    And proxy "p0" logs nothing of zone "west"
    When the partition of the peers is healed
    Then proxy "p0" logs of zone "north" within 12 seconds "proxies answer again"

  Scenario: Some peers hang while all are asked for the primary
    A failover decision does not wait for peers that hang; the reports of the
    others arrive in time.
    Given 6 proxies run and the list shows all targets as live
    When the peers in "east" and "north" are partitioned from each other
    Then proxy "p0" gets primary reports from 3 peers within 0.4 seconds

  Scenario: A late answer is not read as the answer to the next call
    A call that times out closes its connection, as its late answer would
    otherwise be read as the answer to the next call.
    When a peer answers the first call late and the second at once
    Then the second answer comes over a new connection

  Scenario: A proxy in a large fleet polls a bounded number of peers
    Given a proxy that knows of 300 others in 3 zones
    Then it polls 8 of them regularly, 5 in its own zone
    And at most 1 of them changes when one of the 300 is removed
    And none of them is polled by more than 24 others
