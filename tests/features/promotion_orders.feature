Feature: Promotion orders that are late, lost or given twice
  The platform may be slow, down or cut off. A promotion order can take effect
  seconds after its caller gave up, or although it was answered by an error.

  Background:
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    And a caller of "settle" at "north-1" reads all the time

  Scenario: An order answered by a server error is carried out
    Guards against writes at the old primary while such an order is under way.
    Given the next order is answered 503 and begun after 1.5 s
    And all orders are answered 503 and not carried out
    When the primary freezes
    And an order has been sent
    And "db-east" resumes
    And 6 s go by
    Then a promotion in term 2 took effect
    And nothing was acknowledged at a superseded primary
    And every acknowledged write is on the primary

  Scenario: A target that is down for the second order returns before the first
    Guards against forgetting an unanswered order when a repeat is refused.
    Given the next order is not answered and begun after 5 s
    When the primary freezes
    And an order has been sent
    And the target of the order crashes
    And 1 s go by
    And "db-east" resumes
    And 3 s go by
    And the target of the order restarts
    And 8 s go by
    Then nothing was acknowledged at a superseded primary
    And every acknowledged write is on the primary

  Scenario: An order is carried out again after its target was replaced
    Guards against serving a superseded primary until it learns of it.
    Given the next order is begun at once and again after 6 s
    When the primary freezes
    And 2 s go by
    And "db-east" resumes
    And the new primary crashes
    And 2 s go by
    And the crashed primary restarts
    And 6 s go by
    Then a promotion in term 4 took effect
    And nothing was acknowledged at a primary superseded for more than 0.15 s

  Scenario: An order is carried out late while the owner is cut off
    Guards against relying on entries, which don't arrive from the store then.
    Given the next order is not answered and begun after 5 s
    When the primary freezes
    And 1 s go by
    And "db-east" resumes
    And 2.2 s go by
    And the new primary crashes
    And 1 s go by
    And the crashed primary restarts
    And 1 s go by
    And the store is cut off from "east-1"
    And 4 s go by
    Then a promotion in term 4 took effect
    And nothing was acknowledged at a primary superseded for more than 0.2 s

  Scenario: A replaced primary shows the new term before the store does
    Guards against reads at a target that follows an unlisted primary.
    Given the next order is begun at once and again after 6 s
    When the primary freezes
    And 2 s go by
    And "db-east" resumes
    And the new primary crashes
    And 2 s go by
    And the crashed primary is no longer listed
    And the crashed primary restarts
    And 6 s go by
    Then a promotion in term 4 took effect
    And nothing was acknowledged at a primary superseded for more than 1.2 s

  Scenario: A replaced primary refuses a write before the store shows it
    Guards against reads at a replica while the owner is cut off from the store.
    Given the next order is begun at once and again after 6 s
    When the primary freezes
    And 2 s go by
    And "db-east" resumes
    And the new primary crashes
    And 2 s go by
    And the crashed primary restarts
    And the store is cut off from "east-1"
    And 6 s go by
    Then a promotion in term 4 took effect
    And nothing was acknowledged at a primary superseded for more than 1.2 s

  Scenario: The next owner finds an order but no recorded primary
    Guards against dropping a promotion under way as the primary wasn't recorded.
    Given the next order is not answered and begun after 2.5 s
    When the primary freezes
    And an order has been sent
    And the record of the primary is lost
    And the proxy that ordered is killed
    And "db-east" resumes
    And 6 s go by
    Then a promotion in term 2 took effect
    And nothing was acknowledged at a superseded primary
    And every acknowledged write is on the primary

  Scenario: The next owner repeats an order that was lost
    Guards against waiting for an order, as no primary was recorded before it.
    Given the next order is not answered and not carried out
    When the primary freezes
    And an order has been sent
    And the record of the primary is lost
    And the proxy that ordered is killed
    And "db-east" resumes
    And 6 s go by
    Then a promotion in term 2 took effect
    And no write was done for 1 to 4 s at most

  Scenario: The owner is lost as it learns of a promotion
    Guards against a record that has neither the intent nor the new primary.
    Given the next order is not answered and not carried out
    When the primary freezes
    And an order has been sent
    And "db-east" is cut off from "db-west"
    And "db-east" resumes
    And the record has no intent any more
    And the proxy that ordered is killed
    And "db-west" is no longer listed
    And 4 s go by
    Then a promotion in term 2 took effect
    And nothing was acknowledged at a superseded primary

  Scenario: The store refuses the record of a new primary
    Guards against a primary that is served but never recorded.
    When the primary freezes
    And an order has been sent
    And the store refuses the next 1 changes
    And 3 s go by
    Then "db-east" does not lead
    And the primary is recorded

  Scenario: The store clears an intent after its order was given again
    Guards against a late change of the record that drops a promotion under way:
    while the intent of a rejected order is being cleared, it isn't sent again.
    Given the next order is answered 429 and not carried out
    And the next order is not answered and begun after 3 s
    When the primary freezes
    And an order has been sent
    And the store takes 1.2 s for each call for 0.05 s
    And "db-east" resumes
    And 6 s go by
    Then 1 order was sent
    And "db-east" leads
    And nothing was acknowledged at a superseded primary
    And every acknowledged write is on the primary

  Scenario: The platform fails to carry out any order
    Guards against a group without a primary as long as the platform fails.
    Given all orders are answered 503 and not carried out
    When the primary freezes
    And an order has been sent
    And "db-east" resumes
    And 12 s go by
    Then "db-east" leads
    And no write was done for 6 to 9 s at most
    And nothing was acknowledged at a superseded primary

  Scenario: The present primary is promoted
    Guards against waiting for a new term that the platform doesn't begin.
    Given the next order is not answered and not carried out
    When the primary freezes
    And an order has been sent
    And the target of the order crashes
    And 1 s go by
    And "db-east" resumes
    And 8 s go by
    And the target of the order restarts
    And 8 s go by
    Then "db-east" leads
    And no write was done for 8 to 13 s at most

  Scenario: Only a rejection says that an order won't be carried out
    Guards against taking a failed or unusual answer for a rejected order.
    Then the statuses of answers to orders mean
      | status | meaning     |
      | 200    | accepted    |
      | 202    | unanswered  |
      | 302    | unanswered  |
      | 403    | not-taken   |
      | 408    | unanswered  |
      | 409    | target-down |
      | 429    | not-taken   |
      | 500    | unanswered  |
      | 502    | unanswered  |
      | 503    | unanswered  |
      | 504    | unanswered  |
