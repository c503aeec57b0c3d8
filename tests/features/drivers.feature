Feature: Well-known drivers connect unchanged

  Scenario Outline: <driver> reads, writes and uses transactions
    Given a proxy with a small gate listens to callers
    When driver "<driver>" connects to group "songbook"
    Then it reads the row (7, "Malaika", 1.50, NULL) with its types
    And a write tells 3 affected rows and id 42
    And the session token after it can be selected
    And a transaction is open from begin to commit

    Examples:
      | driver                 |
      | asyncmy                |
      | PyMySQL                |
      | mysql-connector-python |

  Scenario Outline: <driver> says what a request needs, in its own form
    Given a proxy with a small gate listens to callers
    When driver "<driver>" connects to group "songbook"
    And it reads with class "status" and an age of 500 ms by <form>
    Then the gate got class "status" and an age of 0.5 s

    Examples:
      | driver                 | form             |
      | asyncmy                | comment          |
      | PyMySQL                | variable         |
      | mysql-connector-python | query attribute  |
      | mysql-connector-python | prepared         |

  Scenario Outline: <driver> gets a refusal as the error it knows
    Not run is the error that drivers know as safe to retry; unknown is the one
    of a lost connection, which they don't retry; a lost transaction, a bad
    attribute and a bad token each have their own.
    Given a proxy with a small gate listens to callers
    When driver "<driver>" connects to group "songbook"
    Then its statements fail with these errors
      | statement                             | code | text               |
      | SELECT 'overload'                     | 1205 | come back in 250   |
      | INSERT 'unknown'                      | 2013 | check with a read  |
      | INSERT 'rejected'                     | 1062 | Duplicate entry    |
      | INSERT 'broken'                       | 2013 | the proxy failed   |
      | /*idempotent='maybe'*/ SELECT 1       | 1231 | true or false      |
      | SET @sedgeshunt_colour = 'red'        | 1231 | sedgeshunt_colour  |
      | SET time_zone = '+02:00'              | 1231 | time_zone          |
      | SET NAMES latin1                      | 1231 | utf8mb4            |
      | SET TRANSACTION ISOLATION LEVEL SERIALIZABLE | 1231 | repeatable-read |
      | SELECT 1; SELECT 2                    | 1235 | one by one         |

    Examples:
      | driver                 |
      | asyncmy                |
      | PyMySQL                |
      | mysql-connector-python |

  Scenario: With autocommit off, a read holds no connection
    Many drivers turn autocommit off for good. A read then goes as a single
    read; the first write opens the transaction that COMMIT ends.
    Given a proxy with a small gate listens to callers
    When driver "mysql-connector-python" connects to group "songbook"
    And it runs SELECT 1, then INSERT 2, then COMMIT, with autocommit off
    Then the gate got SELECT, BEGIN, INSERT and COMMIT

  Scenario: A prepared statement's parameters never become code
    The caller binds a text with quotes and backslashes, bytes, a date and a
    negative number. Each arrives as one literal; a question mark inside a
    quoted text or a comment is no parameter.
    Given a proxy with a small gate listens to callers
    When driver "mysql-connector-python" connects to group "songbook"
    And it prepares "SELECT '?', 5-?, ? /* ? */ WHERE a = ? AND b = ? AND c = ?"
    Then the gate got the parameters as literals

  Scenario: A caller that changes its group takes its token along
    What it wrote in the first group has to be seen when it comes back.
    Given a proxy with a small gate listens to callers
    When driver "PyMySQL" connects to group "songbook"
    And it changes to group "lease-core"
    Then the gate opened "lease-core" and got the token of "songbook"
    And the change is refused while a transaction is open

  Scenario: A caller that was quicker than the proxy is served in the end
    A proxy that has just started knows no group yet and refuses. The caller's
    pool keeps its connection, so the refusal must end with the start.
    Given a proxy with a small gate listens to callers
    When driver "PyMySQL" connects to group "songbook"
    And the proxy learns its groups only after the driver has connected
    Then its next statement is served on the same connection

  Scenario: A request id set for the session serves one write
    Kept for longer, it would make the next write a repeat of this one, which
    is answered and never run.
    Given a proxy with a small gate listens to callers
    When driver "PyMySQL" connects to group "songbook"
    And it sets the request id "turn-1" and writes "unknown", "first", "second"
    Then the gate got the request ids "turn-1", "turn-1", none

  Scenario: A proxy that stops cuts nothing and tells everybody
    A statement is under way, a transaction is open, a third caller is idle and
    a fourth leaves its transaction open for too long. The statement gets its
    answer and the transaction its commit; then each caller's next statement
    is refused as not run, also when the proxy is already gone.
    Given a proxy with a small gate listens to callers
    And callers "busy", "late", "idle" and "slow" are connected
    And "late" and "slow" have begun a transaction
    When "busy" runs a statement of 0.6 seconds and the proxy stops within 1 s
    Then "late" commits while the proxy is stopping
    And "busy" has got its answer
    And the next statement of each caller fails with error 1053

  Scenario: Who fails to log in gets no further
    The caller sends a statement right behind a wrong password. Only the refusal
    comes back, and the gate never hears of the caller.
    Given a proxy with a small gate listens to users
    Then a wrong password with a statement behind it gets error 1045 alone
    And a handshake without an end holds up nobody

  Scenario: A target's answer that was given up meets nobody else
    A statement on a frozen target is given up at its deadline. The connection
    is closed with it; used again, it would hand the late answer to the next
    caller.
    Given a target listens as the drivers of the proxy expect
    When a statement is given up while the target is frozen
    Then the next use of that connection is refused as not sent
    And the target's own refusals come with their codes
    And rows come through as the target wrote them
    And a fence below the target's term is refused with that term

  Scenario: A change whose answer is lost is not called undone
    The service applies the change and drops the answer. The caller learns
    under which name to look for it; a service that is down is told apart.
    Given a key-value service listens as its gateway does
    Then a lost answer names its change and a refused call changes nothing
    And a watch goes on across a silence and ends when it is compacted

  Scenario: A peer's late answer is not taken for the next one
    Given two proxies are linked by thrift
    Then all calls come back with what the peer said
    And a call that takes too long ends the link

  Scenario: Metrics are summed up and keep nobody waiting
    A datagram for each statement would cost more than many statements do.
    Given metrics go to a statsd that listens
    When 1000 statements of 2 ms are counted and one level is set
    Then one flush tells 1000 statements, 50 times and the level
    And the counts are kept for reports
