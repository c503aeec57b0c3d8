Feature: The judge of the process soak
  Histories that are written down here, so that each kind of breach is known to
  be found, and nothing innocent with it. Times are in seconds.

  Scenario Outline: A read on a log that lacks an acknowledged commit is found
    Guards against a soak that passes over reads of a replaced primary.
    Given a commit w1 at db-east, acknowledged at 1.0
    And a promotion of db-north whose log has w1
    And a commit w2 at db-north, acknowledged at 2.0
    When a read of a <route> route with its first byte at <first> runs on db-east and is answered <answer>
    Then the breaches found are "<breaches>"

    Examples:
      | route   | first | answer     | breaches  |
      | primary | 2.5   | COMPLETE   | STALE     |
      | primary | 2.5   | BUSY       | STALE-RUN |
      | primary | 2.5   | by nothing | STALE-RUN |
      | primary | 1.9   | COMPLETE   |           |
      | replica | 2.5   | COMPLETE   |           |

  Scenario: A read on the log of the new primary is no breach
    Guards against a judge that confuses the logs of two primaries.
    Given a commit w1 at db-east, acknowledged at 1.0
    And a promotion of db-north whose log has w1
    And a commit w2 at db-north, acknowledged at 2.0
    When a read of a primary route with its first byte at 2.5 runs on db-north and is answered COMPLETE
    Then the breaches found are ""

  Scenario: A commit that is not acknowledged may be missing
    Guards against a judge that counts writes whose callers know nothing.
    Given a promotion of db-north whose log has nothing
    And a commit w2 at db-north, not acknowledged
    When a read of a primary route with its first byte at 2.5 runs on db-east and is answered COMPLETE
    Then the breaches found are ""

  Scenario: A commit that a promotion rolled back may be missing
    Guards against a judge that counts what no log could keep.
    Given a commit w1 at db-east, acknowledged at 1.0
    And a promotion of db-north whose log has nothing
    When a read of a primary route with its first byte at 2.5 runs on db-north and is answered COMPLETE
    Then the breaches found are ""

  Scenario Outline: A write at a replaced primary is found if it is acknowledged
    Guards against a soak that passes over two primaries.
    Given a promotion of db-north whose log has nothing
    And a commit w1 at <target>, <answer>
    Then the breaches found are "<breaches>"

    Examples:
      | target   | answer              | breaches |
      | db-east  | acknowledged at 1.0 | ONE      |
      | db-east  | not acknowledged    |          |
      | db-north | acknowledged at 1.0 |          |

  Scenario: A write before the promotion is no breach
    Guards against a judge that goes by the time of the acknowledgement.
    Given a commit w1 at db-east, acknowledged at 9.0
    And a promotion of db-north whose log has w1
    Then the breaches found are ""

  Scenario Outline: Two owners at once are found by their logs
    Guards against a soak that passes over two proxies that own a group.
    Given the log of east-1 "<east>"
    And the log of north-1 "<north>"
    When the soak ends at 10.0
    Then two owners were found for "<lengths>"

    Examples:
      | east                                  | north                           | lengths |
      | claimed 1.0, lost 5.0                 | claimed 3.0                     | 2.00    |
      | claimed 1.0                           | claimed 3.0                     | 7.00    |
      | claimed 1.0, released 5.0             | claimed 4.0, lost 6.0           | 1.00    |
      | claimed 1.0, again 2.0, lost 5.0      | claimed 4.0, lost 6.0           | 1.00    |
      | claimed 1.0, lost 5.0                 | claimed 4.75                    |         |
      | claimed 1.0, lost 5.0                 | claimed 5.0                     |         |
      | claimed 1.0, killed 4.0, claimed 8.0  | claimed 4.0, lost 8.0           |         |
      | claimed 1.0, started 4.0              | claimed 4.0                     |         |
      | claimed 1.0, stopped 4.0              | claimed 4.0                     |         |
      | claimed 1.0, paused 2.0 4.9, lost 5.0 | claimed 3.0                     |         |
      | claimed 1.0, paused 2.0 4.0, lost 5.0 | claimed 3.0                     | 1.00    |
      | claimed 1.0, lost 5.0                 | claimed 3.0, paused 2.5 9.0     |         |
