Feature: Proxy processes on the users' platform
  Processes communicate with callers, databases and the store over sockets.

  Scenario: Callers of two proxies see the same data
    Given processes "east-1, west-1"
    When a caller of "kigali" at "east-1" runs "WRITE turn 7" over the wire
    Then the wire response starts with "COMPLETE db-east/"
    When a caller of "kigali" at "west-1" runs "READ turn" over the wire
    Then the wire response starts with "ROW 7"

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

  Scenario Outline: Invalid input ends only its own session
    The sender receives an error where the protocol has one. Other callers are
    not affected.
    Given processes "east-1"
    And another caller of "kigali" at "east-1" over the wire
    When "<bytes>" is sent to "<use>" of "east-1"
    Then the sender receives "<code>"
    And the connection is closed
    And the other caller is served within 300 ms

    Examples:
      | bytes                | use       | code               |
      | no session           | callers   | ERROR MALFORMED    |
      | no text              | callers   | ERROR MALFORMED    |
      | an unknown message   | callers   | ERROR MALFORMED    |
      | an endless line      | callers   | ERROR TOOBIG       |
      | an unknown database  | callers   | ERROR NODB         |
      | half a line          | callers   |                    |
      | a frame of garbage   | peers     |                    |
      | a frame without end  | peers     |                    |
      | no HTTP              | readiness |                    |
      | no HTTP              | metrics   |                    |

  Scenario: An entry that can't be read ends no process
    Guards against an error while one entry is read that ends every proxy, and
    each one that starts while the entry is there.
    Given processes "east-1, west-1"
    When another client writes these entries for databases
      | id     | content                    |
      | torn   | 4000 opening brackets      |
      | deep   | 4000 nested lists          |
      | longer | 200000 nested lists        |
      | maps   | 100000 nested maps          |
      | number | a number of 5000 digits    |
      | name   | an address of 900000 bytes |
      | a b    | a usable address           |
    And "west-1" is killed and started again
    Then a caller of "kigali" at "east-1" is served within 300 ms
    And a caller of "kigali" at "west-1" is served within 300 ms
    And the log of "east-1" has one short line "configuration-refused" for each
    And the log of "west-1" has one short line "configuration-refused" for each

  Scenario: An unknown statement gets an error and the session stays open
    Given processes "east-1"
    When a caller of "kigali" at "east-1" runs these over the wire
      | text         | answer          | state |
      | DROP turn    | ERROR MALFORMED | I     |
      | BEGIN LATER  | ERROR MALFORMED | I     |
      | WRITE turn 1 | COMPLETE        | I     |

  Scenario Outline: A proxy's entry with an address that can't be resolved
    Guards against an error in connecting to a listed proxy that ends the process.
    Given processes "east-1"
    When another client lists a proxy at host "<host>"
    Then processes "east-1" are running
    And a caller of "kigali" at "east-1" is served within 300 ms

    Examples:
      | host                                                             |
      | xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx |
      | a..b                                                             |

  Scenario: A line feed is part of a text
    Guards against a text with a line feed that is taken for two messages, so that
    a statement is run that no caller sent, or a row for the end of an answer.
    Given processes "east-1, west-1"
    When a caller at "west-1" writes a text with a line feed and another message
    Then the targets ran one statement with that text
    And a caller at "east-1" reads the same text in one row

  Scenario: A caller that does not read does not block others
    Its answers fill the socket buffers; then its next statement has to wait.
    Given processes "east-1"
    And another caller of "kigali" at "east-1" over the wire
    When a caller of "kigali" at "east-1" sends 20000 reads
    Then the other caller is served within 300 ms

  Scenario: The descriptor limit bounds the number of callers
    More callers would use descriptors that targets and peers need. They are
    rejected at once and can try another proxy; connected callers are served.
    Given processes "east-1"
    And another caller of "kigali" at "east-1" over the wire
    When 100 callers open sessions at "east-1"
    Then 69 of them are accepted
    And the others receive "ERROR TOOMANY"
    And the other caller is served within 300 ms

  Scenario: A graceful stop
    At SIGTERM the readiness page fails, idle callers are disconnected, and an
    open transaction has time to commit. Then the process exits.
    Given processes "east-1, west-1"
    And another caller of "kigali" at "east-1" over the wire
    And a caller of "kigali" at "east-1" has begun over the wire
    When "east-1" gets SIGTERM
    Then the page "/ready" of "east-1" returns 503
    When the transaction commits over the wire
    Then the wire response starts with "COMPLETE db-east/"
    And the other caller receives "ERROR BUSY"
    And process "east-1" has exited with 0
    And the log of "east-1" has "proxy-stopped"
    And the log of "east-1" has no "eliot:traceback"
    When a caller of "kigali" at "west-1" runs "READ turn" over the wire
    Then the wire response starts with "ROW 1"

  Scenario: Settings are reloaded
    Settings that can change at run time are applied; the log line names those
    that need a restart. An invalid file changes nothing and is reported.
    Given processes "east-1"
    When the store is removed from the settings of "east-1" and it gets SIGHUP
    Then its log line "settings-reloaded" names "store is missing"
    And a caller of "kigali" at "east-1" is served within 300 ms

  Scenario: A settings file that is nested too deeply changes nothing
    Guards against an error in reading the changed file that ends the proxy.
    Given processes "east-1"
    When the settings of "east-1" become 4000 nested lists and it gets SIGHUP
    Then its log line "settings-reloaded" names "not TOML"
    And a caller of "kigali" at "east-1" is served within 300 ms

  Scenario: The store moves to another address
    Given processes "east-1"
    When the store of "east-1" moves to a second address without a signal
    Then its log line "settings-reloaded" names "store"
    And calls arrive at the second address

  Scenario: The store moves during a call
    The call's connection leads to the old address; the next call must not reuse
    it.
    Given a call that a service answers after 0.2 s
    When the service moves during the call
    Then the next call arrives at its new address

  Scenario: A service ends a connection after its answer
    Guards against a second request on a connection that HTTP has ended although
    it is still open, which raised an error that no caller expects.
    Given a service that ends each connection with its answer, later
    When it is called 3 times
    Then each call is answered on a connection of its own

  Scenario: A store that ends its connections is no reason to end
    Guards against a proxy that ends, or does not start, while the store closes
    each connection after one answer.
    Given a store that ends each connection with its answer
    And processes "east-1, west-1"
    When a caller of "kigali" at "west-1" runs "WRITE turn 7" over the wire
    Then the wire response starts with "COMPLETE db-east/"

  Scenario Outline: An answer of the store that can't be read ends no process
    Guards against an error in reading an answer of the store that ends the proxy.
    Given processes "east-1, west-1"
    When the store answers for 2 s with <content>
    Then a caller of "kigali" at "east-1" is served within 300 ms
    And a caller of "kigali" at "west-1" is served within 300 ms

    Examples:
      | content              |
      | an empty list        |
      | an empty map         |
      | nothing              |
      | nested lists         |
      | fields of other types |
      | items that are texts |
      | values not in base64 |

  Scenario Outline: An answer of a target that can't be read ends no process
    Guards against an error in reading an answer of a target that ends the proxy.
    Given processes "east-1, west-1"
    When the targets answer "<statement>" for 3 s with "<line>"
    Then processes "east-1, west-1" are running
    When the targets answer as before
    Then a caller of "kigali" at "east-1" is served again
    And a caller of "kigali" at "west-1" is served again

    Examples:
      | statement | line                       |
      | STATUS    | ROW                        |
      | STATUS    | ROW primary                |
      | STATUS    | ROW primary 1 1.x 0 0 0 0  |
      | STATUS    | ROW primary one 1.0 0 0 0  |
      | STATUS    | ROW primary MANY 1.0 0 0 0 |
      | STATUS    | ROW primary 1 MANY.1 0 0 0 |
      | START     | READY I MANY.1             |
      | READ      | READY I 1.MANY             |
      | READ      | COMPLETE                   |
      | READ      | ROWS 1                     |

  Scenario: Metrics count requests
    Given processes "east-1"
    When a caller of "kigali" at "east-1" runs "WRITE turn 7" over the wire
    Then the metrics of "east-1" have "sedgeshunt_requests_done_total 1.0"
    And the metrics of "east-1" have "sedgeshunt_groups_owned 1.0"
    And the metrics of "east-1" have "sedgeshunt_requests_write_seconds_bucket"

  Scenario: A proxy starts while the store is unavailable
    It becomes ready once the store answers, without a restart.
    Given the store answers 503
    And processes "east-1" that are not ready
    Then the page "/ready" of "east-1" returns 503
    When the store answers again
    Then the page "/ready" of "east-1" returns 200
    When a proxy owns the group
    And a caller of "kigali" at "east-1" runs "WRITE turn 7" over the wire
    Then the wire response starts with "COMPLETE db-east/"

  Scenario: All invalid settings are reported at once
    Given settings with mistakes
    Then the process exits with code 3 and reports
      | problem                  |
      | store is missing         |
      | colour is unknown        |
      | grace_seconds: Expected  |
