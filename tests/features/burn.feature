Feature: Report on service-level burn
  Each proxy counts outcomes in memory; a report merges the counts of all.

  Background:
    Given proxies whose objective is 99 % of "status" within 500 ms

  Scenario: A short burst of failures spends the budget fast
    When "p1" counts in each of 70 hours 1000 "done" of "status" in 20 ms
    And "p1" counts 100 "done at ada" of "status" in 900 ms
    And "p1" counts 80 "not-run overload" of "status" in 0 ms
    And "p1" counts 500 "not-run attribute" of "unknown-class" in 0 ms
    Then the burn report of "p1" is "burns-fast"
    And its main causes are "100 late at ada, 80 not-run overload"
    And between 70 % and 80 % of the budget are left

  Scenario: An objective is not reported as met while a proxy does not answer
    Guards against reporting "met" from incomplete counts. One proxy answers
    all requests in time; the other is unreachable and may fail all of its own.
    The report shows "unknown" and the name of the missing proxy.
    When "p1" counts 1000 "done" of "status" in 20 ms
    Then the burn report of "p1" is "met"
    And the burn report of "p1, p3" is "unknown"
    And it names "p3" as missing

  Scenario: Counts of a replaced proxy are reported from the copy of a peer
    Guards against losing the failures of a proxy with its process, which
    stores nothing. Counts up to the last fetch by a peer are kept, later ones
    are lost. Counts that are available several times are counted once.
    When "p1" counts 40 "not-run no-primary" of "status" in 0 ms
    And "p2" fetches the counts of "p1"
    And "p1" counts 10 "not-run no-primary" of "status" in 0 ms
    And "p2" fetches the counts of "p1"
    And "p1" is replaced by a new run
    And "p1" counts 60 "done" of "status" in 20 ms
    And "p2" fetches the counts of "p1" after 600 s
    Then the burn report of "p1, p2" is "burns"
    And it counts 110 requests, 50 of them bad

  Scenario: Gaps of the same failover on several proxies are merged
    When these periods without writes are recorded
      | proxy | ended at | seconds |
      | p1    | 10       | 2.5     |
      | p2    | 10.3     | 2.6     |
      | p1    | 70       | 0.4     |
    Then the burn report of "p1, p2" is "no-traffic"
    And it has gaps of "0.4, 2.8" s, 1 over the objective

  Scenario: Many distinct classes and targets take bounded memory
    When "p1" counts 2000 distinct classes and targets
    Then the counts of "p1" take less than 20000 bytes

  Scenario: The report is drawn as an image
    When "p1" counts 1000 "done" of "status" in 20 ms
    Then the burn report of "p1" is "met"
    And it is drawn as PNG and SVG

  Scenario: The command reports on a running fleet and on lost proxies
    Guards against a report that omits counts without saying so. The primary
    fails and writes wait for its successor; one proxy is replaced after
    others copied its counts, then another one is lost.
    Given a running fleet with an objective for "default"
    When 20 writes are made at "p1" and 80 s go by
    And the primary fails and 5 writes are made at "p2"
    And proxy "p1" is replaced and 0 s go by
    Then "burn --class default --output json" ends with code 0
    And it shows 25 requests, an earlier run of "p1"
    And a gap of "lease" between 0.05 and 2 s
    When proxy "p2" is lost
    Then "burn --group lease" ends with code 7
    And the output has "unknown, at most 100.0%, within, p2 is missing, p3: new"
    And "burn --class other" ends with code 2
    And "burn --plot burn.txt" ends with code 2

  Scenario: Counts survive a rolling restart of all proxies
    Guards against losing counts during a rolling release. No proxy stores its
    counts, and the holders of its copies restart too. A restarted holder
    first fetches the copies of the other holder.
    Given a running fleet with an objective for "default"
    When 20 writes are made at "p1" and 80 s go by
    And proxy "p1" is replaced and 80 s go by
    And proxy "p2" is replaced and 80 s go by
    And proxy "p3" is replaced and 0 s go by
    Then "burn --output json" ends with code 0
    And it shows 20 requests, an earlier run of "p1, p2, p3"
