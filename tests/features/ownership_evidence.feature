Feature: An ownership lasts no longer than what proves it
  An owner holds its group by the lease to which its key is bound. It may not
  count on a lease that has ended, nor on one that another key is bound to.

  Scenario: The lease is replaced before the claim is answered
    Guards against an ownership held by a lease that its key is not bound to.
    Given a proxy "east-1" whose claims are answered 0.6 s late
    When its lease ends after the claim has been committed
    And 0.7 s go by
    Then it owns the group only if the owner's key is in the store

  Scenario: The deletion of a key is seen before the answer to its write
    Guards against a key in the view that the store no longer holds.
    Given a proxy "east-1" whose claims are answered 0.6 s late
    When its lease ends after the claim has been committed
    And 0.7 s go by
    Then its view holds the owner's key only if the store does

  Scenario: A claim is answered after another proxy has claimed
    Guards against a release that names the claim of another proxy.
    Given proxies "east-1, north-1, west-1, west-2"
    When 5 s go by
    And the next claim is answered 1.5 s late
    And "east-1" is killed
    And the lease of the next owner ends
    And another proxy claims the group and its watch falls silent
    And 1.5 s go by
    Then no two proxies own the group
    And the store holds the key of that proxy

  Scenario: The store answers that the lease has ended
    Guards against an ownership that goes on after its lease was reported ended.
    Given an ownership that a lease proves
    When the lease ends in the store
    And the proxy learns of it
    Then the ownership is not valid

  Scenario: The store grants a shorter time than was asked for
    Guards against an ownership that outlasts the lease of its key.
    Given a store that grants leases of 0.6 s
    And an ownership that a lease proves
    When the store goes down
    And 0.6 s go by
    Then the ownership is not valid

  Scenario: A restored store grants the id of the lease again
    Guards against an ownership held by a lease that its key is not bound to.
    Given an ownership that a lease proves
    When the store comes back as it was before the lease
    And 1 s goes by
    Then the proxy holds a lease of the same id
    And the ownership is not valid

  Scenario: A stopping proxy releases its lease
    Guards against an ownership that goes on after its own lease was revoked.
    Given an ownership that a lease proves
    When the proxy releases its lease
    Then the ownership is not valid

  Scenario: The ownership ends while a statement waits for a slot
    Guards against a statement sent to a primary by a proxy that lost the group.
    Given proxies "east-1"
    And all slots of the primary are busy for 0.3 s
    When a write waits for a slot
    And the ownership ends
    And 1 s goes by
    Then the write is refused as not run
    And no target has run the write

  Scenario: The group is claimed again while its candidates change
    Guards against a candidate whose promise the owner doesn't ask for.
    Given proxies "east-1, north-1, west-1"
    When the next change of candidates is answered 0.6 s late
    And "north-1" is killed
    And the owner's key is deleted once the candidates are changed
    And 0.8 s go by
    Then the owner asks all recorded candidates for promises

  Scenario: Another proxy claims while the end of a lease is checked
    Guards against a claim over the key of an owner that was seen meanwhile.
    Given proxies "north-1, east-1, west-1"
    When 5 s go by
    And the first check of an ended lease is answered 0.6 s late
    And "east-1" is killed
    And 4 s go by
    Then no two proxies owned the group at once
    And the group was claimed once after "east-1"

  Scenario: The ownership ends while a repeated claim waits
    Guards against a claim by an owner whose ownership is over.
    Given proxies "east-1"
    When the candidates are being written
    And the owner's key is deleted
    And 0.3 s go by
    And the ownership ends
    And the candidates have been written
    And 0.5 s go by
    Then the record counts 2 claims

  Scenario: A peer reports to own a group that is owned here
    Guards against promises that extend the ownership of a superseded owner.
    Given proxies "north-1, east-1, west-1"
    Then "east-1" promises "north-1" not to claim
    When "north-1" reports to "east-1" that it owns the group
    Then "east-1" promises "north-1" nothing

  Scenario: An earlier entry of the owner's instance is listed again
    Guards against an earlier process that is taken for a later one.
    Given proxies "north-1, east-1, west-1"
    When "east-1" is killed
    And 0.3 s go by
    And "east-1" starts again
    And 5 s go by
    And the store lists the earlier process of "east-1" and goes down
    And 3 s go by
    And the store is cut off from "east-1"
    And the store comes back
    And 1 s goes by
    Then no two proxies owned the group at once

  Scenario: An earlier process of an instance registers late
    Guards against a late registration that replaces that of a later process.
    Given proxies "east-1"
    When the next registration of "east-1" is carried out 0.8 s late
    And the lease ends in the store
    And 0.4 s go by
    And "east-1" is killed
    And "east-1" starts again
    And 0.8 s go by
    Then the store lists the later process of "east-1"
