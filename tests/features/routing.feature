Feature: Routing of reads
  Reads go to the best target that provably may serve them, replicas first.

  Background:
    Given a router in zone "east" and these targets
      | target | zone  | role    | log end | age ms | wait ms |
      | ada    | north | primary | 3:50    | 5      | 0       |
      | bob    | east  | replica | 3:50    | 5      | 0       |
      | cyd    | west  | replica | 3:50    | 5      | 0       |

  Scenario: The replica of the own availability zone comes first
    Then a read goes to "bob, cyd, ada"
    When the expected wait at "bob" is 3 ms
    Then a read goes to "bob, cyd, ada"
    When the expected wait at "bob" is 30 ms
    Then a read goes to "cyd, bob, ada"

  Scenario Outline: A rule keeps reads from a target, and explains it
    When <change>
    Then a read that needs 3:50 and accepts 100 ms goes to "<order>"
    And the verdict on "<target>" is "<rule>" and tells "<detail>"

    Examples:
      | change                            | order    | target | rule                | detail                      |
      | "bob" is leaving                  | cyd, ada | bob    | leaving             | label says                  |
      | the route selects "zone!=east"    | cyd, ada | bob    | not-selected        | selects "zone!=east"        |
      | "bob" has told nothing            | cyd, ada | bob    | no-status           | not told its place          |
      | "bob" is silent                   | cyd, ada | bob    | silent              | does not answer             |
      | the log of "bob" ends at 3:49     | cyd, ada | bob    | not-covered         | ends at 3:49                |
      | the log of "bob" ends at 2:99     | cyd, ada | bob    | not-covered         | has to see 3:50             |
      | the age of "bob" is 101 ms        | cyd, ada | bob    | too-stale           | age 101 ms, the read accepts 100 ms |
      | the age of "bob" is not provable  | cyd, ada | bob    | too-stale           | no provable age             |
      | the route keeps off the primary   | bob, cyd | ada    | primary-not-allowed | keeps reads from it         |
      | nothing else                      | bob, cyd, ada | ada | left-to-replicas  | a replica can serve         |

  Scenario: A read of a stated age sees its session's own write
    The caller queues a song and lists the queue, accepting data ten minutes
    old. The replicas are fresh enough for anybody else, but do not have the
    entry yet, so the primary serves this session until one of them has it.
    When the log of "bob" ends at 3:49
    And the log of "cyd" ends at 3:48
    Then a read that needs 3:50 and accepts 600000 ms goes to "ada"
    And "bob" may catch up
    And a read that accepts 600000 ms goes to "bob, cyd, ada"

  Scenario: A failing target is left out and taken back with care
    The caller's read fails over to the other replica, and soon no read is
    sent to the broken one. After a pause single reads probe it, the first
    one fails and the pause grows; three that succeed bring it back.
    When 3 statements fail at "bob"
    Then a read goes to "cyd, ada"
    And the verdict on "bob" is "ejected" and tells "left out"
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

  Scenario: A slow target is left out, but never most of them
    When every target but "cyd" answers 20 statements in 5 ms
    And "cyd" answers 20 statements in 100 ms
    Then a read goes to "bob, ada"
    When 20 statements fail at "bob"
    Then a read goes to "bob, ada"

  Scenario: With nobody else left an ejected target is asked
    When 3 statements fail at "bob"
    And "ada" is silent
    And "cyd" is silent
    Then a read goes to "bob"

  Scenario: Waiting for a replica that is about to catch up
    A read that needs a fresh write waits a moment for the replica rather
    than load the primary. It does not if the wait would cost more than the
    patience, would not fit the deadline, or the replica is stuck.
    Given replicas that apply each record 8 ms after the primary
    Then a read of the newest record waits for "bob" at most 20 ms
    And a read of the newest record with 20 ms left goes elsewhere
    When "bob" stops applying and 60 ms pass
    Then a read of the newest record goes elsewhere
