Feature: Fleets of any size
  In a small fleet everybody knows everybody. In a large one each instance keeps
  in touch with those it has to do with, and few of them read replicas.

  Scenario Outline: Connections to a replica stay within its limit
    Each instance finds by itself who reads a group's replicas. Together they
    leave some connections for the owner's questions, in fleets of any size.
    Given <instances> instances in <zones> zones
    When replicas take <limit> connections
    Then the readers' shares sum up to at most <limit> less 4, or to 1 each
    And each zone has a reader
    And each reader has 3 connections, or shares its zone with none

    Examples:
      | instances | zones | limit |
      | 1         | 1     | 22    |
      | 7         | 4     | 16    |
      | 20        | 4     | 40    |
      | 3         | 5     | 8     |
      | 6         | 3     | 22    |
      | 12        | 3     | 22    |
      | 13        | 3     | 22    |
      | 69        | 3     | 34    |
      | 61        | 4     | 151   |
      | 300       | 4     | 50    |
      | 1500      | 10    | 50    |

  Scenario: An instance that leaves moves no reader of another zone
    Given 61 instances in 4 zones
    When replicas take 151 connections
    And an instance leaves
    Then readers changed in its zone only

  Scenario: A fast instance reads more often
    Fast ones are four times as fast as the others.
    Given 60 instances in 3 zones, a third of them fast
    When replicas of 200 groups take 34 connections
    Then the fast ones are readers 2 to 5 times as often

  Scenario: A large fleet serves through few hands
    Callers come to every proxy. Most of them forward reads to a reader of their
    zone and the rest to the owner; no database is asked for more connections
    than it takes, and nobody has links to all.
    Given 18 proxies in three zones
    When callers of "admin" at every proxy write and read for 3 s
    Then every statement was done
    And no database had more than 22 connections at once
    And each proxy has links to at most 14 others

  Scenario: A large fleet goes on after its owner's death
    The owner's process is gone. Those who forward to it know the next owner by
    the store, and have a link to it by then or ask one who has.
    Given 18 proxies in three zones
    And a caller of "settle" at "west-5" writes every 20 ms
    When the owner is killed
    And 4 s go by
    Then no write was done for 0.1 to 2 s at most
    And no two proxies owned the group at once

  Scenario: A reader is gone
    Its process is killed while it answers reads of others. These are asked again
    at the owner, and the next ones at another reader.
    Given 18 proxies in three zones
    When a reader is killed as callers of "admin" read for 3 s
    Then at most 2 statements were not done

  Scenario: Who reads nothing asks owners rarely
    Log ends prove how old a replica's data is; only those who read there need
    them. Asked for by everybody twice a second, they were most of the bytes
    between zones in a fleet of 195.
    Given 24 proxies in three zones
    When the owner's heartbeats are counted for 5 s
    Then readers asked it at least 1.8 times a second
    And those that neither read nor may own asked it at most 1.2 times a second
