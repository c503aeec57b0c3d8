Feature: Proxies as processes on the users' platform
  Processes speak with callers, databases and the store over sockets.

  Scenario: Callers of two proxies see the same data
    Given processes "east-1, west-1"
    When a caller of "kigali" at "east-1" runs "WRITE turn 7" over the wire
    Then the wire answers "COMPLETE db-east/"
    When a caller of "kigali" at "west-1" runs "READ turn" over the wire
    Then the wire answers "ROW 7"

  Scenario: A transaction and prepared statements over the wire
    Given processes "east-1, west-1"
    When a caller of "kigali" at "west-1" runs these over the wire
      | text                  | answer   | state |
      | SET zone nyamirambo   | COMPLETE | I     |
      | PREPARE put WRITE q2c | COMPLETE | I     |
      | BEGIN                 | COMPLETE | T     |
      | EXECUTE put turn 9    | COMPLETE | T     |
      | READ turn             | ROW 9    | T     |
      | COMMIT                | COMPLETE | I     |
      | READ turn             | ROW 9    | I     |
      | DEALLOC put           | COMPLETE | I     |
      | EXECUTE put turn 1    | ERROR    | I     |

  Scenario Outline: What is no message ends its own session only
    The caller is told what is wrong. Another caller notices nothing.
    Given processes "east-1"
    And another caller of "kigali" at "east-1" over the wire
    When "<bytes>" comes in at "<use>" of "east-1"
    Then it is told "<code>"
    And the connection is closed
    And the other caller is served within 300 ms

    Examples:
      | bytes                | use       | code               |
      | no session           | callers   | ERROR MALFORMED    |
      | no text              | callers   | ERROR MALFORMED    |
      | a word of no session | callers   | ERROR MALFORMED    |
      | an endless line      | callers   | ERROR TOOBIG       |
      | an unknown database  | callers   | ERROR NODB         |
      | half a line          | callers   |                    |
      | a frame of garbage   | peers     |                    |
      | a frame without end  | peers     |                    |
      | no HTTP              | readiness |                    |
      | no HTTP              | metrics   |                    |

  Scenario: An unknown statement is answered, and the session goes on
    Given processes "east-1"
    When a caller of "kigali" at "east-1" runs these over the wire
      | text         | answer          | state |
      | DROP turn    | ERROR MALFORMED | I     |
      | BEGIN LATER  | ERROR MALFORMED | I     |
      | WRITE turn 1 | COMPLETE        | I     |

  Scenario: A caller that reads nothing holds up nobody
    Its answers fill the sockets' buffers; from then on its next statement waits.
    Given processes "east-1"
    And another caller of "kigali" at "east-1" over the wire
    When a caller of "kigali" at "east-1" sends 20000 reads
    Then the other caller is served within 300 ms

  Scenario: As many callers as there are descriptors for
    Each one more would take a descriptor that a target or peer needs. It is told
    so at once and may go elsewhere; those who are there are served.
    Given processes "east-1"
    And another caller of "kigali" at "east-1" over the wire
    When 100 callers open sessions at "east-1"
    Then 69 of them are let in
    And the others are told "ERROR TOOMANY"
    And the other caller is served within 300 ms

  Scenario: A graceful stop
    At SIGTERM the balancer is told, a caller without a request is sent on, and
    a transaction gets the time to commit. Then the process ends by itself.
    Given processes "east-1, west-1"
    And another caller of "kigali" at "east-1" over the wire
    And a caller of "kigali" at "east-1" has begun over the wire
    When "east-1" gets SIGTERM
    Then the page "/ready" of "east-1" says 503
    When the transaction commits over the wire
    Then the wire answers "COMPLETE db-east/"
    And the other caller is told "ERROR BUSY"
    And process "east-1" has ended with 0
    And the log of "east-1" has "proxy-stopped"
    And the log of "east-1" has no "eliot:traceback"
    When a caller of "kigali" at "west-1" runs "READ turn" over the wire
    Then the wire answers "ROW 1"

  Scenario: Settings are taken in again
    What can change while running does; the line names what needs a restart. A
    file with mistakes changes nothing and is said to be wrong.
    Given processes "east-1"
    When the settings of "east-1" lose their store and it gets SIGHUP
    Then its log line "settings-reloaded" names "store is missing"
    And a caller of "kigali" at "east-1" is served within 300 ms

  Scenario: The store moves to another address
    Given processes "east-1"
    When the store of "east-1" moves to a second address without a signal
    Then its log line "settings-reloaded" names "store"
    And calls arrive at the second address

  Scenario: A call is under way while the store moves
    Its connection leads to where the store was; the next call must not take it.
    Given a call that a service answers after 0.2 s
    When the service moves meanwhile
    Then the next call arrives at its new address

  Scenario: Metrics tell what happened
    Given processes "east-1"
    When a caller of "kigali" at "east-1" runs "WRITE turn 7" over the wire
    Then the metrics of "east-1" have "sedgeshunt_requests_done_total 1.0"
    And the metrics of "east-1" have "sedgeshunt_groups_owned 1.0"
    And the metrics of "east-1" have "sedgeshunt_requests_write_seconds_bucket"

  Scenario: A proxy starts while the store refuses it
    Callers come as soon as the store answers, with no start anew.
    Given the store answers 503
    And processes "east-1" that wait
    Then the page "/ready" of "east-1" says 503
    When the store answers again
    Then the page "/ready" of "east-1" says 200
    When a proxy owns the group
    And a caller of "kigali" at "east-1" runs "WRITE turn 7" over the wire
    Then the wire answers "COMPLETE db-east/"

  Scenario: Bad settings are named, all at once
    Given settings with mistakes
    Then the process ends with code 3 and names
      | problem                  |
      | store is missing         |
      | colour is unknown        |
      | grace_seconds: Expected  |
