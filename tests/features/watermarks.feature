Feature: Watermarks
  What a majority showed when asked after a moment is at or above everything
  acknowledged before it. Reads are proven fresh by it, without a primary.

  Background:
    Given a view of the targets "ada, bob, cyd"

  Scenario: A session without a token waits for the first watermark
    Its barrier has to cover what was acknowledged before it was opened, so
    answers to earlier questions don't count, also when they come later.
    When at 1000 ms "ada" answers 1:9, asked at 900 ms
    And at 1001 ms "bob" answers 1:9, asked at 950 ms
    And a session opens at 960 ms and waits for its barrier
    Then the barrier is not known
    When at 1010 ms "bob" answers 1:9, asked at 970 ms
    Then the barrier is not known
    When at 1020 ms "cyd" answers 1:8, asked at 1000 ms
    Then the barrier is 1:9

  Scenario: The primary's latest records are left out
    Nobody was promised what only the primary has. A barrier drawn from the
    two replicas keeps reads from waiting for it.
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
    The proxy hears a single target. Whatever that one says, a majority
    elsewhere may have taken writes since.
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

  Scenario: A suffix that nobody was promised is dropped
    The old primary's log ends at 1:15, of which 1:10 was acknowledged. Told
    to follow, it drops the rest and is as fresh as before, but it never
    covers the points of the new term before it has copied them.
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
    Its source leads again, and it copied records of the newer term without
    ever being fenced for it. A late order to follow the primary of a term in
    between would still be accepted, and would drop them under a session.
    When at 1000 ms "bob" answers 3:9 in term 1, asked at 990 ms
    And at 1000 ms "cyd" answers 3:8 in term 3, asked at 990 ms
    Then "bob" does not cover 3:7
    And at 1000 ms the age of the data of "bob" is not proven
    When at 1010 ms "bob" answers 3:9 in term 3, asked at 1005 ms
    Then "bob" covers 3:7

  Scenario: A target forgets what it has shown
    It was restored from a backup. Counted, it would vouch for writes that it
    no longer has; it is left out until it shows them again.
    When at 1000 ms "ada" answers 1:10, asked at 990 ms
    And at 1000 ms "bob" answers 1:10, asked at 990 ms
    And at 1100 ms "bob" answers 1:7, asked at 1090 ms
    Then the view reports "a log loses no record of its current term"
    And "bob" does not cover 1:7
    When at 1200 ms "bob" answers 1:10, asked at 1190 ms
    Then "bob" covers 1:10

  Scenario: An answer that was overtaken is no news
    Two calls to one target crossed: the later answer was read earlier.
    When at 1000 ms "bob" answers 1:10, asked at 990 ms
    And at 1001 ms "bob" answers 1:9, asked at 980 ms
    Then "bob" covers 1:10
    And the view reports nothing

  Scenario: The kept series agrees with the list of all watermarks
    Then for random watermarks the series finds what a plain list finds
    And a series of 20000 watermarks stays small and its ages nearly exact
