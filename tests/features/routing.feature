Feature: Routing of reads
  Reads go to the best target whose data is proven fresh enough, replicas
  first.

  Background:
    Given a router in zone "east" and these targets
      | target | zone  | role    | log end | age ms | wait ms |
      | ada    | north | primary | 3:50    | 5      | 0       |
      | bob    | east  | replica | 3:50    | 5      | 0       |
      | cyd    | west  | replica | 3:50    | 5      | 0       |

  Scenario: The replica of the own availability zone comes first
    Then a read goes to "bob, cyd, ada"
    When the router knows "bob" as "wait 3"
    Then a read goes to "bob, cyd, ada"
    When the router knows "bob" as "wait 30"
    Then a read goes to "cyd, bob, ada"

  Scenario Outline: A rule keeps reads from a target, and explains it
    When <change>
    Then a read that needs 3:50 and accepts 100 ms goes to "<order>"
    And the assessment of "<target>" is "<rule>" with "<detail>"

    Examples:
      | change                                   | order         | target | rule                | detail                              |
      | the router knows "bob" as "leaving"      | cyd, ada      | bob    | leaving             | label says                          |
      | the route has "targets" of "zone!=east"  | cyd, ada      | bob    | not-selected        | selects "zone!=east"                |
      | the router knows "bob" as "unknown"      | cyd, ada      | bob    | no-status           | not told its place                  |
      | the router knows "bob" as "silent"       | cyd, ada      | bob    | silent              | does not answer                     |
      | the router knows "bob" as "end 3:49"     | cyd, ada      | bob    | not-covered         | ends at 3:49                        |
      | the router knows "bob" as "end 2:99"     | cyd, ada      | bob    | not-covered         | has to see 3:50                     |
      | the router knows "bob" as "age 101"      | cyd, ada      | bob    | too-stale           | age 101 ms, the read accepts 100 ms |
      | the router knows "bob" as "unproven"     | cyd, ada      | bob    | too-stale           | no provable age                     |
      | the route has "primary_reads" of "false" | bob, cyd      | ada    | primary-not-allowed | keeps reads from it                 |
      | the router knows "bob" as "wait 0"       | bob, cyd, ada | ada    | left-to-replicas    | a replica can serve                 |

  Scenario: A read of a stated age sees its session's own write
    The session writes and then reads, accepting data that is ten minutes old.
    The replicas are fresh enough for that age but don't have the write yet,
    so the primary serves the session until one of them does.
    When the router knows "bob" as "end 3:49"
    And the router knows "cyd" as "end 3:48"
    Then a read that needs 3:50 and accepts 600000 ms goes to "ada"
    And "bob" may catch up
    And a read that needs nothing and accepts 600000 ms goes to "bob, cyd, ada"

  Scenario: A failing target is ejected and readmitted after probes
    After three failures no read is sent to it. After the ejection time single
    reads probe it. A failed probe ejects it again for longer; three probes
    that succeed readmit it.
    When 3 statements fail at "bob"
    Then a read goes to "cyd, ada"
    And the assessment of "bob" is "ejected" with "left out"
    And the decision "ejected" is recorded for "bob"
    When 2 s pass
    Then a read goes to "bob, cyd, ada"
    But the next read goes to "cyd, ada"
    When 1 statements fail at "bob"
    And 1.5 s pass
    Then a read goes to "cyd, ada"
    When 3 s pass
    And 3 probes of "bob" are answered, 0.3 s apart
    Then the decision "readmitted" is recorded for "bob"
    And a read goes to "bob, cyd, ada"

  Scenario: Explaining a route claims no probe
    When 3 statements fail at "bob"
    And 2 s pass
    And an operator asks for the route
    Then a read goes to "bob, cyd, ada"

  Scenario: A slow target is ejected, but never the majority
    When "ada, bob" answer 20 statements in 5 ms
    And "cyd" answer 20 statements in 100 ms
    Then a read goes to "bob, ada"
    When 20 statements fail at "bob"
    Then a read goes to "bob, ada"

  Scenario: An ejected target serves reads if no other is left
    When 3 statements fail at "bob"
    And the router knows "ada" as "silent"
    And the router knows "cyd" as "silent"
    Then a read goes to "bob"

  Scenario: Waiting for a replica that is about to catch up
    A read that needs a recent write waits a short time for the replica
    instead of loading the primary. It doesn't if the wait exceeds the allowed
    extra wait or its share of the deadline, or if the replica is stuck.
    Given replicas that apply each record 8 ms after the primary
    Then a read of the newest record with 1000 ms left waits 20 ms for "bob"
    And a read of the newest record with 20 ms left waits not
    When "bob" stops applying and 60 ms pass
    Then a read of the newest record with 1000 ms left waits not
