Feature: Targets that refuse to set up a connection
  Connections are shared by sessions. A proxy sets up a connection for a statement
  by messages of its own, and a target may refuse or fail any of them.

  Scenario Outline: Statements run on connections as their sessions left them
    Guards against a connection that is used again although its session values,
    prepared statements or transaction are not those that the proxy noted.
    Given proxies "east-1"
    And the target refuses 40 % of <messages> with <codes>
    When 12 callers of "settle" use values, prepared statements and transactions
    Then more than <count> messages were refused
    And each statement ran with the values and in the transaction of its session
    And no prepared statement was unknown to the target

    Examples:
      | messages | codes                         | count |
      | RESET    | BUSY, LAGGING                 | 40    |
      | RESET    | FAILED, TIMEOUT               | 40    |
      | SET      | BUSY, LAGGING                 | 40    |
      | SET      | FAILED, TIMEOUT               | 40    |
      | PREPARE  | BUSY, LAGGING                 | 10    |
      | PREPARE  | FAILED, TIMEOUT               | 10    |
      | BEGIN    | BUSY, LAGGING                 | 10    |
      | BEGIN    | FAILED, TIMEOUT               | 10    |
      | ROLLBACK | BUSY, LAGGING                 | 10    |
      | ROLLBACK | FAILED, TIMEOUT               | 10    |
      | all      | BUSY, FAILED, TIMEOUT, NOSTMT | 60    |

  Scenario Outline: A refused setup is reported as not run
    Guards against a failure of the proxy's own message that is passed on as the
    failure of the caller's statement, which never ran.
    Given proxies "east-1"
    And the target refuses 100 % of SET with <code>
    When a caller of "settle" at "east-1" sets "lang" and runs "WRITE turn 1"
    Then it is refused as not run within 100 ms
    And the primary has no "turn"

    Examples:
      | code    |
      | BUSY    |
      | LAGGING |
      | FAILED  |
      | TIMEOUT |
