Feature: Graceful stops
  A statement that a stopping proxy has read is answered whole, and is never
  both refused and run.

  Scenario: A statement outlasts the time for open transactions
    Guards against cutting a running statement before its time limit or the
    grace period is over.
    Given processes "east-1, west-1"
    And databases take 1.5 s for "WRITE turn 1"
    And another caller of "catalogue" at "east-1" over the wire
    When 2 s pass at the processes
    And "east-1" gets SIGTERM
    And 0.8 s pass at the processes
    Then the other caller gets a whole answer "COMPLETE" to "WRITE turn 1"

  Scenario Outline: A statement lasts longer than the grace
    Guards against an answer that a stop leaves out, or that promises what is
    not known.
    Given processes "east-1, west-1"
    And databases take 5 s for "<text>"
    And another caller of "catalogue" at "east-1" over the wire
    When 2 s pass at the processes
    And "east-1" gets SIGTERM
    And 1.2 s pass at the processes
    Then the other caller gets a whole answer "ERROR <code>" to "<text>"

    Examples:
      | text         | code    |
      | WRITE turn 1 | UNKNOWN |
      | READ turn    | BUSY    |

  Scenario: A statement crosses the request to leave
    Guards against an answer that ends without READY.
    Given processes "east-1, west-1"
    And another caller of "kigali" at "east-1" over the wire
    When "east-1" gets SIGTERM
    Then the other caller is told "ERROR BUSY"
    And that is the whole answer to its next statement "WRITE turn 1"
    And "WRITE turn 1" has not run

  Scenario Outline: A session is told to leave as its statement arrives
    Guards against a statement that is refused and run, or neither.
    When a server stops <turns> turns of its event loop after a statement
    Then the statement was either run or refused, and answered whole

    Examples:
      | turns |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |

  Scenario: A stop begins while a session that was asked to leave closes
    Guards against a stop that fails, and ends all other sessions.
    When a server is stopped 0.15 s after its idle caller has left
    Then the stop has not failed

  Scenario: A caller doesn't leave
    Guards against a stop that outlasts the grace period.
    Given processes "east-1, west-1"
    And another caller of "kigali" at "east-1" over the wire
    When "east-1" gets SIGTERM
    Then process "east-1" has exited with 0
    And the log of "east-1" has no "session-cut"

  Scenario Outline: A peer's write meets a stop
    Guards against a link that is closed under a call, whose effect is then
    unknown.
    Given a peer that runs each call in 0.5 s
    When the peer stops and a write is sent to it <sent> s later
    Then the write was <outcome>

    Examples:
      | sent | outcome          |
      | -0.1 | run and answered |
      | 0.1  | refused, not run |
      | 0.41 | refused, not run |
      | 0.6  | refused, not run |

  Scenario: A peer's write lasts longer than the grace
    Guards against a promise that a write has not run.
    Given a peer that runs each call in 5 s
    When the peer stops and a write is sent to it -0.1 s later
    Then the write was of unknown effect
