Feature: Acknowledgement of writes
  A write is acknowledged once a majority has shown it, each target in one
  answer, while the term it was written in is the newest one known.

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
    A proxy fences "bob" for term 2 and finds its log at 1:4. The old
    primary's record reaches it late, and the new primary lacks it. Counted
    by its log alone, the caller would have a turn that nobody knows of.
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
    The majority held the write, but its primary was superseded before the
    answer went out; what the new primary holds is looked up instead.
    When "ada" answers as primary in term 1 with its log at 1:5
    And "bob" answers as replica in term 1 with its log at 1:5
    And "cyd" refuses a fence as it holds term 2
    And a write at 1:5 waits for 500 ms
    Then the write is refused

  Scenario: The proxy freezes between evidence and answer
    The evidence is there, and the proxy's process stops for two seconds. A
    new primary is promoted meanwhile. On waking, the old evidence must not
    be told to the caller; it is asked for again, and shows the new term.
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
    Whichever is asked, acknowledged writes of the other may be missing. None
    of them is the primary, and no write of that term is acknowledged.
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
