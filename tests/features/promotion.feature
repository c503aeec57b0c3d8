Feature: Promotion of a primary
  Any proxy replaces a failed primary. It first fences a majority and then
  promotes the member with the best log, so no acknowledged write is lost.

  Background:
    Given three proxies that write through the primary "ada"

  Scenario: The primary crashes
    Its connection is refused twice in a row and no proxy gets an answer, so
    a replica is promoted before the suspicion time has passed.
    When database "ada" is killed
    And the group runs for 1 s
    Then a primary other than "ada" leads in term 2
    And no acknowledged write is lost
    And writes were held up for at most 250 ms

  Scenario: The zone of the primary is cut off
    The proxy in the zone still reaches the old primary, which accepts its
    writes. None is replicated, so none is acknowledged. The other two zones
    elect a primary. After the partition the old one drops those writes.
    When zone "east" is cut off
    And the group runs for 2 s
    Then a primary other than "ada" leads in term 2
    And writes were held up for at most 1000 ms
    When all cuts are healed
    And the group runs for 1 s
    Then no acknowledged write is lost
    And "ada" follows the primary and has its log
    And all proxies agree on the primary

  Scenario: The primary freezes and thaws
    Afterwards it still acts as primary, with writes from before and during
    the freeze. As its term is lower, the proxies order it to follow, and it
    drops the writes that the new primary lacks.
    When database "ada" is frozen
    And the group runs for 2 s
    Then a primary other than "ada" leads in term 2
    And writes were held up for at most 1000 ms
    When database "ada" is thawed
    And the group runs for 1 s
    Then no acknowledged write is lost
    And "ada" follows the primary and has its log

  Scenario: Rival proxies promote at the same time
    All proxies act at once, without asking each other. A target accepts each
    term once, so at most one proxy gets a majority in any term.
    Given all proxies act at once and ask no peers
    When database "ada" is killed
    And the group runs for 2 s
    Then no term was asked for by two primaries
    And no acknowledged write is lost
    And all proxies agree on the primary

  Scenario: The promoting proxy crashes after its fence
    The group has no primary, and the targets refuse the old term. Another
    proxy notices the term without a primary and starts a higher one.
    When database "ada" is killed
    And the promoting proxy crashes once it has fenced a target
    And the group runs for 2 s
    Then a primary other than "ada" leads in term 3
    And no acknowledged write is lost
    And writes were held up for at most 1500 ms

  Scenario: A slow primary is kept
    Its latency rises up to 600 ms, and the suspicion time with it. A failover
    would interrupt writes without making them faster.
    When the answers from zone "east" slow down step by step to 600 ms
    Then no target was promoted

  Scenario: One proxy cannot reach the primary
    The other proxies report that they reach the primary, so the failover is
    deferred. The deferral ends after 5 s, as callers of the partitioned proxy
    must not wait forever.
    When proxy "p2" cannot reach "ada"
    And the group runs for 4 s
    Then no target was promoted
    And a "promotion-deferred" was recorded
    When the group runs for 3 s
    Then a primary other than "ada" leads in term 2
    And no acknowledged write is lost

  Scenario: A proxy that reaches a minority fences no target
    It reaches neither the primary nor a majority. A fence could stop the
    writes of all other proxies but couldn't elect a primary.
    When proxy "p2" cannot reach "ada"
    And proxy "p2" cannot reach "bob"
    And the group runs for 8 s
    Then no target was promoted
    And the newest term is 1

  Scenario: The primary is cut off from its group, but not from the proxies
    It answers polls and accepts writes, but none is replicated, so none is
    acknowledged until the proxies detect the stall.
    When database "ada" cannot reach the other databases
    And the group runs for 3 s
    Then a primary other than "ada" leads in term 2
    And no acknowledged write is lost
    And writes were held up for at most 2000 ms

  Scenario: The primary is labelled as leaving
    It is going to be removed, and its replicas lag a little. It is fenced
    before the others, so that a replica can copy the last records before it
    is promoted. No committed write is lost.
    When database "ada" gets the label that it is leaving
    And the group runs for 2 s
    Then a primary other than "ada" leads in term 2
    And no committed write is dropped
    And writes were held up for at most 200 ms

  Scenario: The proxies were frozen
    Afterwards all answers are old and all timers have expired. The primary
    must not be suspected because of a pause of the proxies themselves.
    When the proxies' process is frozen for 3 s
    And the group runs for 2 s
    Then no target was promoted

  Scenario: A target comes back from an old backup
    Its fence and its last records are gone. If its answers counted, a write
    could be acknowledged with one copy too few. It is excluded until it has
    the records again.
    When database "bob" comes back 50 records behind its own log
    And the group runs for 1 s
    Then a "invariant-broken" was recorded
    And "bob" follows the primary and has its log
    And no acknowledged write is lost

  Scenario Outline: Without its safeguard the failure shows
    The same faults with one safeguard switched off must show the failure;
    otherwise the scenarios above would prove nothing.
    Given the safeguard "<safeguard>" is off
    When <fault>
    And the group runs for 4 s
    And all cuts are healed
    And the group runs for 1 s
    Then <symptom>

    Examples:
      | safeguard   | fault                                            | symptom                        |
      | majority    | zone "east" is cut off                           | acknowledged writes are lost   |
      | repair      | zone "east" is cut off                           | "ada" is left with its own log |
      | peers       | proxy "p2" cannot reach "ada"                    | a target was promoted          |
      | pauses      | the proxies' process is frozen for 3 s           | a target was promoted          |
      | stall check | database "ada" cannot reach the other databases  | no target was promoted         |
      | early fence | database "ada" gets the label that it is leaving | the newest term is above 2     |

  Scenario Outline: Random faults at random moments
    Databases crash, freeze, lag and leave, zones and connections are cut, the
    proxies pause, in any order. At the end all acknowledged writes must be
    present. The barrier of each new session must cover them.
    When random faults are injected for 15 s with seed <seed>
    Then no acknowledged write is lost
    And no term was asked for by two primaries
    And no barrier was below an acknowledged write
    And all proxies agree on the primary
    And writes are acknowledged again

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
