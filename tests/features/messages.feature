Feature: Messages of the statement protocol
  What one party sends never becomes a message of another kind, number or sender.

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
