Feature: A proxy knows which instances are there, leaving or gone

  Scenario: The list lags behind a target that leaves
    The target gets no new work from the first word on and does not get it
    back by an older line. The list says "leaving", then an old copy of it says
    "live" again for a minute; that is shorter than the list may lag.
    Given 1 proxy runs and the list shows all targets as live
    When the list shows target "ada" as leaving for 2 seconds
    Then all proxies give target "ada" no new work within 2 seconds
    When the list shows target "ada" as live for 60 seconds
    Then all proxies give target "ada" no new work within 0 seconds
    When the list shows target "ada" as live for 130 seconds
    Then all proxies give target "ada" work within 2 seconds

  Scenario: A proxy hears that a target leaves before the list shows it
    Direct evidence goes before the list, which shows the target as live for
    some seconds more.
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

  Scenario: The list is down after it showed old lines
    The time without a list proves nothing: the target stays out of service
    until lines that are all from after the outage have shown it live for long
    enough.
    Given 1 proxy runs and the list shows all targets as live
    When the list shows target "ada" as leaving for 2 seconds
    And the list shows target "ada" as live for 60 seconds
    And the list is down for 100 seconds
    And the list shows target "ada" as live for 60 seconds
    Then all proxies give target "ada" no new work within 0 seconds

  Scenario: A proxy restarts under its name
    Its peers count it out from its own word on, and in again from its own
    word too. The list shows it as live all the time.
    Given 6 proxies run and the list shows all targets as live
    When peer "p1" says that it stops, and stops
    Then the other proxies count "p1" as gone within 1 seconds
    When peer "p1" starts anew
    Then the other proxies count "p1" as live within 8 seconds

  Scenario: A proxy dies without a word
    Refused connections are evidence of their own; its peers count it out long
    before the list does.
    Given 6 proxies run and the list shows all targets as live
    When peer "p2" dies
    Then the other proxies count "p2" as gone within 3 seconds

  Scenario: An availability zone is cut off
    Operators see in the log that a zone is cut off, not that two proxies died.
    They also see it come back.
    Given 6 proxies run and the list shows all targets as live
    When the peers in "east" and "north" are cut off from each other
    Then proxy "p0" logs of zone "north" within 5 seconds "no proxy answers"
    And proxy "p0" logs nothing of zone "west"
    When the peers in both zones are joined again
    Then proxy "p0" logs of zone "north" within 12 seconds "proxies answer again"

  Scenario: One peer hangs while all are asked for the primary
    A failover decision does not wait for the peer that hangs; the others'
    words come in time.
    Given 6 proxies run and the list shows all targets as live
    When the peers in "east" and "north" are cut off from each other
    Then proxy "p0" hears of the primary from 3 peers within 0.4 seconds

  Scenario: A late answer is not taken for the next one
    A question is given up and its connection closed, as the answer would
    otherwise come in place of the answer to the next question.
    When a peer answers the first question late and the second at once
    Then the second answer comes over a new connection

  Scenario: A large fleet asks a bounded number of peers
    Given a proxy that knows of 300 others in 3 zones
    Then it asks 8 of them regularly, 5 in its own zone
    And it changes 1 of them at most when one of the 300 goes
    And none of them is asked by more than 24 others
