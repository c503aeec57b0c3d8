Feature: Session tokens
  A session token holds the points that reads must include; proxies store none.

  Background:
    Given a proxy that signs tokens with key "new" and knows key "old"

  Scenario: A session keeps read-your-writes on another proxy
    When a session writes to "songbook" at 3:41
    And its token reaches another proxy that signs with "old" and knows "new"
    Then its reads of "songbook" need 3:41
    And its reads of "songbook" need no barrier

  Scenario: Forged and damaged tokens are refused with advice
    Some bytes of a token are changed, or it is signed with an unknown key and
    claims a position far ahead. No replica would ever reach that position, so
    accepting it would send all reads of the session to the primary. The caller
    gets "not run" with the cause token and advice to open a new session.
    When these tokens are presented
      | token                     |
      |                           |
      | AQ                        |
      | not base64!               |
      | ü                         |
      | valid, truncated by one   |
      | valid, each byte changed  |
      | a position far ahead      |
      | 5000 characters           |
    Then each is refused with cause "token" and advice to open a new session

  Scenario: Keys are rotated without ending sessions
    When a token is signed with key "old"
    Then the proxy verifies it
    But a proxy that knows only "new" refuses it
    And a proxy without any key cannot start

  Scenario: A session opened without a token waits for one barrier
    The caller may have written over another connection just before. Without a
    token, its first read waits for a watermark of a majority taken after the
    session was opened. Later reads need that point and do not wait again.
    Given a session opened at 5.0
    Then its reads of "songbook" need a barrier since 5.0
    When the barrier of "songbook" completes at 2:7
    Then its reads of "songbook" need 2:7
    And its reads of "songbook" need no barrier
    And its reads of "lease" need a barrier since 5.0

  Scenario: A write of unknown outcome requires a new barrier
    The caller gets "unknown" and checks with a read, which must include the
    write if it ran. A lagging replica would return the state before it, and
    the caller would write a second time.
    Given a session opened at 5.0
    When the barrier of "songbook" completes at 2:7
    And a write to "songbook" has an unknown outcome at 9.0
    Then its reads of "songbook" need a barrier since 9.0

  Scenario: The token of a session with many groups stays small
    When a session writes to 20 groups and then again to the first
    Then its token names 16 groups, the first among them
    And a proxy that gets the token needs a barrier for the second group

  Scenario: Points of a superseded term never lower the required point
    When a session writes to "songbook" at 3:41
    And a session writes to "songbook" at 2:90
    Then its reads of "songbook" need 3:41
