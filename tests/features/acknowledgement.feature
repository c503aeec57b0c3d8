Feature: Acknowledgement of writes
  A write is acknowledged once a majority has confirmed it, each target in a
  single answer, while the term of the write is the newest known one.

  Background:
    Given a view of the targets "ada, bob, cyd"
    And "ada" answers as primary in term 1 with its log at 1:4

  Scenario: A majority holds the write
    When a write at 1:5 waits for 500 ms
    And "ada" answers as primary in term 1 with its log at 1:5
    Then the write still waits
    When "bob" answers as replica in term 1 with its log at 1:4
    Then the write still waits
    When "cyd" answers as replica in term 1 with its log at 1:6
    Then the write is acknowledged

  Scenario: The answer to the write counts for the primary
    When "ada" answers a write with the point 1:5
    And a write at 1:5 waits for 500 ms
    And "bob" answers as replica in term 1 with its log at 1:5
    Then the write is acknowledged

  Scenario: A record that arrives after the fence does not count
    A proxy fences "bob" for term 2 while its log ends at 1:4. The record of
    the old primary arrives after that, and the new primary lacks it. If the
    log end counted without its term, an acknowledged write would be lost.
    When a write at 1:5 waits for 500 ms
    And "ada" answers as primary in term 1 with its log at 1:5
    And "bob" answers as fenced in term 2 with its log at 1:5
    Then the write is refused

  Scenario: The same, without the safeguard
    Given the evidence counts without its term
    When a write at 1:5 waits for 500 ms
    And "ada" answers as primary in term 1 with its log at 1:5
    And "bob" answers as fenced in term 2 with its log at 1:5
    Then the write is acknowledged

  Scenario: A newer term is known
    A majority holds the write, but its primary was superseded before the
    acknowledgement, and the new primary may lack the write.
    When "ada" answers as primary in term 1 with its log at 1:5
    And "bob" answers as replica in term 1 with its log at 1:5
    And "cyd" refuses a fence as it holds term 2
    And a write at 1:5 waits for 500 ms
    Then the write is refused

  Scenario: The proxy freezes between evidence and answer
    The proxy has the evidence and is then frozen for two seconds, in which a
    new primary is promoted. The old evidence must not acknowledge the write;
    the proxy polls the targets again, which shows the new term.
    When "ada" answers as primary in term 1 with its log at 1:5
    And "bob" answers as replica in term 1 with its log at 1:5
    And the proxy is frozen for 2 s
    And a write at 1:5 waits for 500 ms
    Then the write still waits
    And the targets are asked often
    When "cyd" answers as primary in term 2 with its log at 2:6
    Then the write is refused

  Scenario: The same freeze, without the safeguard
    Given evidence counts whatever its age
    When "ada" answers as primary in term 1 with its log at 1:5
    And "bob" answers as replica in term 1 with its log at 1:5
    And the proxy is frozen for 2 s
    And a write at 1:5 waits for 500 ms
    Then the write is acknowledged

  Scenario: The freeze was short and the primary is still the same
    When "ada" answers as primary in term 1 with its log at 1:5
    And "bob" answers as replica in term 1 with its log at 1:5
    And the proxy is frozen for 2 s
    And a write at 1:5 waits for 500 ms
    And "ada" answers as primary in term 1 with its log at 1:5
    And "bob" answers as replica in term 1 with its log at 1:5
    Then the write is acknowledged

  Scenario: No majority shows the write in time
    When a write at 1:5 waits for 500 ms
    And "ada" answers as primary in term 1 with its log at 1:5
    And 600 ms go by
    Then the write is refused

  Scenario: Two targets lead in one term
    Either may lack acknowledged writes of the other. None of them counts as
    the primary, and no write of that term is acknowledged.
    When "ada" answers as primary in term 1 with its log at 1:5
    And "bob" answers as primary in term 1 with its log at 1:7
    And a write at 1:5 waits for 500 ms
    Then the write is refused
    And the view knows no primary
    And the view reports "one primary in a term"

  Scenario: Many writes share the same answers
    When writes at 1:5 to 1:204 wait for 500 ms
    And "ada" answers as primary in term 1 with its log at 1:204
    And "bob" answers as replica in term 1 with its log at 1:104
    Then 100 writes are acknowledged
    When "cyd" answers as replica in term 1 with its log at 1:204
    Then 200 writes are acknowledged
