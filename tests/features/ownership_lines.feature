Feature: The log shows by what each group is held
  A reader of the logs of all proxies can tell for each moment which of them
  held a group, under which claim, and how old the evidence for it was.

  Scenario: The owner holds its group by promises in an outage of the store
    Guards against two owners in an outage whose lines are alike.
    Given proxies "north-1, east-1, west-1"
    When the store is down for 6 s
    And 2 s go by
    Then "east-1" wrote these lines of its group
      | line          | evidence | before |
      | group-claimed | lease    |        |
      | group-held    | lease    | none   |
      | group-held    | promises | lease  |
      | group-held    | lease    | promises |
    And "east-1" wrote no warning of a lost key
    And each of them names token, claim, lease and the age of the evidence

  Scenario: The time of an ownership is over
    Guards against an end that no line shows, as nothing happens at that moment.
    Given proxies "north-1, east-1, west-1"
    When "east-1" is cut off from proxies and store
    And 3 s go by
    Then "east-1" wrote that it held its group no more 0 to 260 ms after the end
    And "east-1" wrote that it lost its group as "time over"
    And the next owner wrote that it claimed as "owner gone"

  Scenario: The key of an owner is deleted while its lease is held
    Guards against a key that is gone while its owner goes on unnoticed.
    Given proxies "north-1, east-1, west-1"
    When the store loses the owner's key
    And 1 s goes by
    Then "east-1" wrote once that its key is gone
    And "east-1" wrote that it claimed again as its key was gone

  Scenario: A stopping owner hands its group over
    Guards against a release that can't be told from a loss.
    Given proxies "north-1, east-1, west-1"
    When "east-1" hands over
    And 1 s goes by
    Then "east-1" wrote that it lost its group as "released"
    And the next owner wrote that it claimed as "handed over"

  Scenario: The evidence of an ownership changes again and again
    Guards against a flood of lines while the store answers now and then.
    Given an ownership whose evidence changes 40 times within 20 s
    Then 4 lines say that it is held
    And the first line after 30 s says that 36 were left out

  Scenario: The answer of a statement is voided
    Guards against a voided answer of which no line says by what right its
    statement was sent, and how long ago.
    Given proxies "east-1"
    When a caller of "settle" at "east-1" runs "WRITE turn 0"
    Then it is done
    When a caller of "settle" at "east-1" runs "WRITE turn 1" across a suspension
    Then its outcome is unknown
    And "east-1" wrote a voided answer that was sent by a lease under term 1
    And the page of "east-1" has 1 voided answers

  Scenario: A sample of the statements at a primary
    Guards against a line for each statement, and against none.
    Given proxies "north-1, east-1, west-1"
    When 1500 statements of "settle" at "west-1" write
    Then "east-1" wrote 2 of them, with token, term and target

  Scenario: A promotion is ordered and seen in effect
    Guards against an order of which no line says when it was sent and when it
    took effect.
    Given proxies "north-1, east-1, west-1"
    And a promotion takes 0.3 s
    And a caller of "settle" at "west-1" writes every 20 ms
    When the primary crashes
    And 3 s go by
    Then "east-1" wrote these lines of its orders
      | line              | reasons                           |
      | intent-recorded   | stored=True served_term=1         |
      | promotion-ordered | answer=accepted status= waited_ms=0 |
      | primary-replaced  | term=2                            |
      | intent-cleared    | why=db-west is served             |
    And its order was seen in effect after 300 to 400 ms

  Scenario: The next owner finds the order of an earlier one
    Guards against an order whose fate can't be followed from owner to owner.
    Given proxies "north-1, east-1, west-1"
    And a promotion takes 1.5 s
    And a caller of "settle" at "west-1" writes every 20 ms
    When the primary freezes
    And "east-1" is killed as soon as it has ordered
    And "db-east" resumes
    And 6 s go by
    Then the next owner wrote that it found the intent of the owner before
    And the next owner wrote that it cleared the intent as "in effect in term 2"

  Scenario Outline: A peer is lost
    Guards against a loss that shows as the same line whether the peer's process
    ended, or the link or one of both processes was late.
    Given proxies "north-1, east-1, west-1"
    When <event>
    And 2 s go by
    Then "north-1" wrote that it lost "east-1" as "<why>" after <least> to <most> ms

    Examples:
      | event                                      | why    | least | most |
      | "east-1" is killed                         | closed | 0     | 300  |
      | nothing passes from "east-1" to "north-1"  | silent | 400   | 900  |

  Scenario: A killed peer can't be connected
    Guards against a peer that refuses connections and seems to be silent.
    Given proxies "north-1, east-1, west-1"
    When "east-1" is killed
    And 2 s go by
    Then "north-1" wrote once that "east-1" refused a connection

  Scenario: A link breaks as soon as it is open
    Guards against a flood of lines that hides the rest of the log.
    When a peer is lost 100 times within 5 s
    Then 5 lines say so, and the first after 10 s counts 95 others

  Scenario: The timers of a process are late
    Guards against a starved process whose late answers look like lost links.
    When the timers of a process are late by 0.4 s, 5 times within 2.5 s
    Then 2 lines say so, with more than 350 ms
    And the last one counts 1 others
