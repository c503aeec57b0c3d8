Feature: Watermarks
  The log ends of a majority asked after a moment are at or above all writes
  acknowledged before it. This proves reads fresh without asking the primary.

  Background:
    Given a view of the targets "ada, bob, cyd"

  Scenario: A session without a token waits for the first watermark
    Its barrier has to cover the writes acknowledged before it was opened, so
    answers to earlier requests don't count, even if they arrive later.
    When at 1000 ms "ada" answers 1:9, asked at 900 ms
    And at 1001 ms "bob" answers 1:9, asked at 950 ms
    And a session opens at 960 ms and waits for its barrier
    Then the barrier is not known
    When at 1010 ms "bob" answers 1:9, asked at 970 ms
    Then the barrier is not known
    When at 1020 ms "cyd" answers 1:8, asked at 1000 ms
    Then the barrier is 1:9

  Scenario: The primary's latest records are left out
    Records that only the primary has are not acknowledged. With a barrier
    taken from the two replicas, reads don't wait for them.
    When at 1000 ms "ada" answers 1:20, asked at 990 ms
    And at 1000 ms "bob" answers 1:12, asked at 990 ms
    And at 1000 ms "cyd" answers 1:11, asked at 990 ms
    And a session opens at 980 ms and waits for its barrier
    Then the barrier is 1:12

  Scenario: A replica is as fresh as the latest watermark it covers
    When at 1000 ms "ada" answers 1:10, asked at 990 ms
    And at 1000 ms "bob" answers 1:10, asked at 990 ms
    And at 1000 ms "cyd" answers 1:10, asked at 990 ms
    And at 1500 ms "ada" answers 1:20, asked at 1490 ms
    And at 1500 ms "bob" answers 1:18, asked at 1480 ms
    And at 1500 ms "cyd" answers 1:17, asked at 1470 ms
    Then at 1600 ms the data of "ada" is at most 120 ms old
    And at 1600 ms the data of "bob" is at most 130 ms old
    And at 1600 ms the data of "cyd" is at most 610 ms old

  Scenario: Nothing proves the age of a target's data
    The proxy reaches a single target. Whatever its status is, the other two
    may have acknowledged writes since.
    When at 1000 ms "bob" answers 1:10, asked at 990 ms
    Then at 1000 ms the age of the data of "bob" is not proven

  Scenario: A replica that is cut off ages
    When at 1000 ms "ada" answers 1:10, asked at 990 ms
    And at 1000 ms "bob" answers 1:10, asked at 990 ms
    And the link to "bob" breaks
    And at 3000 ms "ada" answers 1:10, asked at 2990 ms
    And at 3000 ms "cyd" answers 1:10, asked at 2990 ms
    Then at 3100 ms the data of "bob" is at most 110 ms old
    When at 4000 ms "ada" answers 1:11, asked at 3990 ms
    And at 4000 ms "cyd" answers 1:11, asked at 3990 ms
    Then at 4100 ms the data of "bob" is at most 1110 ms old

  Scenario: An unacknowledged suffix is dropped
    The old primary's log ends at 1:15, of which 1:10 was acknowledged. Once
    it follows, it drops the rest and is as fresh as before, but it doesn't
    cover points of the new term before it has copied them.
    When at 1000 ms "ada" answers 1:15, asked at 990 ms
    And at 1000 ms "bob" answers 1:10, asked at 990 ms
    And at 1010 ms "bob" answers 2:11 as primary, asked at 1005 ms
    And at 1020 ms "cyd" answers 2:11, asked at 1005 ms
    And at 1030 ms "ada" answers 1:10 in term 2, asked at 1025 ms
    Then "ada" covers 1:10
    And "ada" does not cover 2:11
    And the view reports nothing
    And at 1100 ms the age of the data of "ada" is not proven

  Scenario: A log that is longer, but of an earlier term, is not newer
    When at 1000 ms "ada" answers 1:99, asked at 990 ms
    And at 1000 ms "bob" answers 2:11 as primary, asked at 990 ms
    Then "ada" does not cover 2:11
    And "bob" covers 1:10

  Scenario: A log that ends in a term above the target's own is not counted
    Its source was promoted again, and it copied records of the newer term
    without a fence for it. It would still accept a late order to follow the
    primary of a term in between and drop records that a session depends on.
    When at 1000 ms "bob" answers 3:9 in term 1, asked at 990 ms
    And at 1000 ms "cyd" answers 3:8 in term 3, asked at 990 ms
    Then "bob" does not cover 3:7
    And at 1000 ms the age of the data of "bob" is not proven
    When at 1010 ms "bob" answers 3:9 in term 3, asked at 1005 ms
    Then "bob" covers 3:7

  Scenario: A target loses records that it has shown
    It was restored from a backup. Its earlier answers count for writes that
    it no longer has, so it is excluded until it shows them again.
    When at 1000 ms "ada" answers 1:10, asked at 990 ms
    And at 1000 ms "bob" answers 1:10, asked at 990 ms
    And at 1100 ms "bob" answers 1:7, asked at 1090 ms
    Then the view reports "a log loses no record of its current term"
    And "bob" does not cover 1:7
    When at 1200 ms "bob" answers 1:10, asked at 1190 ms
    Then "bob" covers 1:10

  Scenario: An answer that arrives out of order is ignored
    Two calls to one target overlap: the later answer was read earlier.
    When at 1000 ms "bob" answers 1:10, asked at 990 ms
    And at 1001 ms "bob" answers 1:9, asked at 980 ms
    Then "bob" covers 1:10
    And the view reports nothing

  Scenario: The kept series agrees with the list of all watermarks
    Then for random watermarks the series finds what a plain list finds
    And a series of 20000 watermarks stays small and its ages nearly exact
