Feature: The store is restored from an older snapshot
  All later writes and all leases are lost. The store reuses revisions and lease
  ids; only the era, which it reports with each answer, rises.

  Scenario: Changes of the configuration after a restore come into force
    Guards against rejecting a newer configuration for its lower revision.
    Given proxies "east-1, north-1, west-1"
    And the operator changes the configuration 5 times in 2 s
    When the store is restored after 2 s to its state 2 s before
    And the operator drops the route "browse"
    And 3 s go by
    Then no proxy that reaches the store lets a caller of "browse" in

  Scenario: An older configuration in the snapshot does not come into force
    Guards against a dropped route that is restored until the next change.
    Given proxies "east-1, north-1, west-1"
    And the operator changes the configuration 3 times in 1 s
    When the operator drops the route "browse"
    And 1 s goes by
    And the store is restored after 1 s to its state 1.5 s before
    And 3 s go by
    Then no proxy lets a caller of "browse" in
    And no proxy applied an older version

  Scenario: A proxy that was cut off gets the change that it missed
    Guards against a view that waits for a revision of an older era.
    Given proxies "east-1, north-1, west-1"
    And the operator changes the configuration 5 times in 2 s
    When "west-1" is cut off from proxies and store
    And the store is restored after 1 s to its state 2 s before
    And the operator drops the route "browse"
    And 2 s go by
    And all cuts heal
    And 3 s go by
    Then no proxy lets a caller of "browse" in

  Scenario Outline: Followers of a watcher get changes after a restore
    Guards against followers that get no changes, or changes the store has lost.
    Given 24 proxies in three zones
    And the operator changes the configuration 5 times in 2 s
    When the store is restored after <away> s to its state 3 s before
    And the operator drops the route "browse"
    And 3 s go by
    Then no proxy that reaches the store lets a caller of "browse" in
    And no proxy applied an older version
    When 4 s go by
    Then every proxy is listed

    Examples:
      | away |
      | 0    |
      | 0.1  |
      | 3    |

  Scenario: The owner keeps its group
    Guards against writes that wait for a new owner after each restore.
    Given proxies "east-1, north-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the store is restored after 2 s to its state 2 s before
    And 4 s go by
    Then "east-1" owns the group
    And the owner's key is in the store
    And no write was done for 0 to 0.2 s at most
    And no two proxies owned the group at once
    And each proxy holds a lease of its own
    And every acknowledged write is on the primary

  Scenario: A lease whose id was granted again is not renewed
    Guards against an instance that renews a lease which is no longer its own.
    Given proxies "east-1, north-1"
    When "west-1" joins
    And 1 s goes by
    And the store is cut off from "west-1"
    And the store is restored after 0.1 s to its state 2 s before
    And other clients are granted 8 leases
    And 1.2 s go by
    Then no proxy holds a lease of another client
    When all cuts heal
    And 3 s go by
    Then each proxy holds a lease of its own
    And every proxy is listed

  Scenario: A claim that the store has lost stays valid
    Guards against two owners, and against none until the older claim ends.
    Given proxies "east-1, north-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When "east-1" is killed
    And 4 s go by
    And the store is restored after 1 s to its state 4.5 s before
    And 4 s go by
    Then another proxy than "east-1" owns the group
    And the owner's key is in the store
    And no write was done for 0 to 1.5 s at most
    And no two proxies owned the group at once
    And every acknowledged write is on the primary

  Scenario Outline: The owner is lost as the store is restored
    Guards against a token that was used before, and against two owners at once.
    Given proxies "east-1, north-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When "east-1" <fault>
    And the store is restored after <away> s to its state <age> s before
    And 7 s go by
    Then another proxy than "east-1" owns the group
    And no write was done for 0 to <most> s at most
    And no two proxies owned the group at once
    And no token was used twice
    And every acknowledged write is on the primary

    Examples:
      | fault                             | away | age | most |
      | is killed                         | 0.2  | 2   | 4.5  |
      | is killed                         | 2    | 5   | 6.5  |
      | is cut off from proxies and store | 0.2  | 2   | 4.5  |
      | is cut off from proxies and store | 2    | 5   | 6.5  |

  Scenario Outline: The primary is replaced as the store is restored
    Guards against use of a superseded primary that the snapshot records.
    Given groups with 1 synchronous replica
    And proxies "east-1, north-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the primary crashes
    And <before> s go by
    And the store is restored after <away> s to its state <age> s before
    And 6 s go by
    Then the terms of acknowledged writes never go down
    And every acknowledged write is on the primary
    And no two proxies owned the group at once
    And a write was acknowledged in term 2

    Examples:
      | before | away | age |
      | 0.1    | 0.1  | 1   |
      | 0.3    | 0.5  | 1   |
      | 0.6    | 0.1  | 3   |
      | 2      | 0.5  | 4   |

  Scenario: The snapshot is empty
    Guards against replacing a primary that writes its entry again late.
    Given proxies "east-1, north-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    And the primary takes 1.5 s to write its entry after a restore
    When the store is restored after 0.5 s to its state 60 s before
    And 4 s go by
    Then "east-1" owns the group
    And no write was done for 0 to 0.2 s at most
    And no promotion was ordered
    And no two proxies owned the group at once
    And the owner's key is in the store
    And every proxy is listed

  Scenario: Two restores in a row
    Guards against reliance on writes between them, which are lost again.
    Given proxies "east-1, north-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the store is restored after 1 s to its state 3 s before
    And 0.7 s go by
    And the operator drops the route "browse"
    And the store is restored after 1 s to its state 0.6 s before
    And 4 s go by
    Then no proxy lets a caller of "browse" in
    And the owner's key is in the store
    And no write was done for 0 to 1 s at most
    And no two proxies owned the group at once
    And each proxy holds a lease of its own

  Scenario: The limit of a customer is kept
    Guards against spending parts of a limit twice while entries are missing.
    Given customers "bar" of 20 operations a second each
    And proxies "east-1, north-1, west-1, west-2"
    When "bar" asks for 60 operations a second at all of them for 3 s
    And the store is restored after 0.3 s to its state 60 s before
    And "bar" asks for 60 operations a second at all of them for 4 s
    Then in any 5 s at most 20 a second and the burst of "bar" were allowed

  Scenario: The first claim of a group is lost before the others see it
    Guards against a claim by a proxy that promised the owner not to claim: it
    knows no claim, so neither its promise nor the owner's report binds it.
    Given proxies "east-1, north-1, west-1" whose store goes down after a claim
    When the store is cut off from "east-1"
    And the store is restored after 1.5 s to its state 0.5 s before
    And 4 s go by
    Then no two proxies owned the group at once

  Scenario: The cost of a restore grows with the proxies, not with their pairs
    Guards against listings and claims by the whole fleet at once.
    Given calls to the store after a restore with 15 and then 45 proxies
    Then the store was charged at most 1.2 times as much for each one of the 45

  Scenario Outline: Random faults around restores of the store
    Guards against two owners, lost writes, lower tokens and older configurations.
    When the history with the seed <seed> is run
    Then no check of it fails

    Examples:
      | seed |
      | 1    |
      | 7    |
      | 12   |
      | 16   |
      | 27   |
      | 52   |
