Feature: Messages of the statement protocol
  What one party sends never becomes a message of another kind, number or sender.

  Scenario: Messages are read as they were built
    Guards against a text that is taken for another message, as a line feed was.
    Then messages with drawn fields are read as they were built, or refused

  Scenario Outline: A message that could not be read as it was built is refused
    Guards against a field that ends its message, or splits it in another way.
    When a message is built of <fields>
    Then it is refused

    Examples:
      | fields                                 |
      | "QUERY", "q1", "READ a\r\nCLOSE"       |
      | "QUERY", "q 1", "READ a"               |
      | "QUERY", "q1\r\nQUERY q2 WRITE a", "b" |
      | "START", "a b", "tester", "db-1"       |
      | "ROW", "\ud800"                        |

  Scenario Outline: A message of any size is read whole or refused
    Guards against a message that is sent although no reader accepts its size.
    When a message exceeds the limit by <bytes> bytes
    Then it is <outcome>

    Examples:
      | bytes | outcome    |
      | -1    | read whole |
      | 0     | read whole |
      | 1     | refused    |

  Scenario Outline: A statement that can't be sent is refused without a run
    Guards against a statement that arrives as several messages at its target.
    Given a target
    When it is sent the statement <id> with the text <text>
    Then it can't be sent
    And the target received no statement
    When it is sent the statement "q2" with the text "READ two"
    Then the target received "QUERY q2 READ two"

    Examples:
      | id     | text                                 |
      | "q1"   | "WRITE a b\r\nQUERY q9 WRITE a c"    |
      | "q 1"  | "WRITE a b"                          |

  Scenario: A connection is not opened with a name of several words
    Guards against a name that is taken for the fields behind it.
    Given a target
    When it is connected for the customer "acme target-9"
    Then the target can't be reached
    And the target received no message

  Scenario: A statement that is too long for its target is refused, not sent
    Guards against a message that grows beyond the limit on its way, so that its
    target closes the connection and nobody knows whether it ran.
    Given processes "east-1"
    When a caller at "east-1" executes a prepared write with the longest message
    Then the answer is "ERROR MALFORMED" and the targets ran nothing
    And the same session writes "turn 8"

  Scenario Outline: A long name in a refusal doesn't make the answer too long
    Guards against an error that quotes the caller and exceeds a message's limit.
    Given processes "east-1"
    When a caller at "east-1" sends <message> with a name of 1048000 bytes
    Then each line of the answer is shorter than 1000 bytes

    Examples:
      | message        |
      | START name     |
      | QUERY q1 EXECUTE name a |
      | QUERY q1 DEALLOC name   |

  Scenario Outline: A refused statement leaves nothing of its answer unread
    Guards against the rest of one answer that is taken for the next answer.
    Given a target
    And it answers "READ one" with "ERROR <code> no" and "READY I 1.1"
    When it is asked "READ one" and "READ two"
    Then the answers are "<kind>" and a success

    Examples:
      | code      | kind         |
      | TOOMANY   | too-many     |
      | MISROUTED | wrong-target |
      | BUSY      | busy         |
      | FAILED    | failed       |

  Scenario: A refusal holds although the connection breaks before READY
    Guards against an answer of unknown outcome for a statement that was refused.
    Given a target
    And it answers "READ one" with "ERROR BUSY no"
    And it closes the connection after its answer to "READ one"
    When it is asked "READ one" and "READ two"
    Then the answers are "busy" and "TargetGone"

  Scenario: A message that answers nothing is not taken for an answer
    Guards against a late or unasked message that is read as the answer to the
    next statement, such as a refusal of one that then runs.
    Given a target
    When it is asked "READ one"
    And without a statement it answers with "ERROR BUSY leaving" and "READY I -"
    And it is asked "WRITE two"
    Then the answer is "TargetGone"
    And the target received "QUERY q1 READ one"

  Scenario Outline: Messages in another order are no answer
    Guards against an answer that is put together of parts of two.
    Given a target
    And it answers "READ one" with <lines>
    When it is asked "READ one"
    Then the answer is "TargetLost"

    Examples:
      | lines                                            |
      | "COMPLETE a" and "ROW b" and "READY I -"         |
      | "COMPLETE a" and "COMPLETE b" and "READY I -"    |
      | "ERROR BUSY no" and "COMPLETE a" and "READY I -" |
      | "COMPLETE a" and "ERROR BUSY no" and "READY I -" |

  Scenario: Session values that are too long for a peer break no connection
    Guards against one caller whose values end the connection of two proxies, and
    with it the calls of all others on it.
    Given processes "east-1, west-1"
    When a caller of each proxy sets 5 values of 1000000 bytes and writes
    Then each write is done or refused with "ERROR MALFORMED"
    And a caller of "kigali" at "east-1" is served within 300 ms
    And a caller of "kigali" at "west-1" is served within 300 ms
    And the log of "east-1" has no "peer-lost"
    And the log of "west-1" has no "peer-lost"

  Scenario: An answer that is too long for a peer breaks no connection
    Guards against one caller's answer that ends the connection of two proxies.
    Given processes "east-1, west-1"
    And the targets answer reads with 5 rows of 1000000 bytes
    When a caller of each proxy reads
    Then each read is done or refused with "ERROR FAILED"
    And the log of "east-1" has no "peer-lost"
    And the log of "west-1" has no "peer-lost"

  Scenario: A transaction ends with a statement that is too long for a peer
    Guards against a transaction that stays open at its owner, with a connection,
    although its caller has been told that it has ended.
    Given processes "east-1, west-1"
    When a caller of each proxy begins, writes, and writes with too many values
    Then each write is done or refused with "ERROR MALFORMED"
    And the targets are told to roll back within 1 s
