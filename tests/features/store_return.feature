Feature: The store comes back from an older copy of itself
  What was written since is gone, leases too. Revisions go back and are given out
  again, and only the era that the store tells with each answer rises.

  Scenario: Changes of the configuration after a return come into force
    Guards against a newer configuration that is turned down for its low revision.
    Given proxies "east-1, north-1, west-1"
    And the operator changes the configuration 5 times in 2 s
    When the store comes back after 2 s as it was 2 s before
    And the operator drops the route "browse"
    And 3 s go by
    Then no proxy that reaches the store lets a caller of "browse" in
