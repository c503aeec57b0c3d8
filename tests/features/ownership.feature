Feature: One owner of a group at a time
  The owner alone uses the primary. It holds the group by a lease in the store,
  or by the promises of all who could claim it.

  Scenario: The best placed proxy owns a group
    Three proxies start at once. Each sees the same order of the others; the one
    in the primary's zone claims, and the others see that they need not.
    Given proxies "north-1, east-1, west-1"
    Then "east-1" owns the group
    And the group was claimed 1 times

  Scenario: A proxy that forwards and the owner see the same data
    Given proxies "north-1, east-1, west-1"
    When a caller of "settle" at "west-1" runs "WRITE turn 1"
    Then it is done
    When a caller of "settle" at "north-1" runs "READ turn"
    Then it is done with "1"

  Scenario: The group goes on after its owner's death
    A caller's writes fail for a moment and then go on. The owner's process is
    gone; the others miss its answers, its lease lapses, and one of them claims.
    No two owned the group at any time, and the token has grown.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When "east-1" is killed
    And 3 s go by
    Then another proxy than "east-1" owns the group
    And no write was done for 0.5 to 1.4 s at most
    And no two proxies owned the group at once
    And every acknowledged write is on the primary

  Scenario: A process that comes back at once takes its group back
    The owner's process dies and is started again within its lease. The store
    still names its instance: nobody else can have claimed meanwhile.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When "east-1" is killed
    And 0.3 s go by
    And "east-1" starts again
    And 2 s go by
    Then "east-1" owns the group
    And no write was done for 0.2 to 0.9 s at most

  Scenario: An outage of the store stops no writes
    The store answers nobody for six seconds, six times the lease. The owner
    still hears each candidate promise not to claim, and goes on.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the store is down for 6 s
    And 2 s go by
    Then "east-1" owns the group
    And no write was done for 0 to 0.2 s at most
    And no two proxies owned the group at once

  Scenario: Without the store and with a candidate lost, the owner stops
    The store is down and one candidate is dead. Nobody can say that the dead
    one has not claimed just before; so the owner stops with its lease. A write
    in the meantime is refused as not run, at once, and works after the outage.
    Given proxies "north-1, east-1, west-1"
    When the store goes down
    And "north-1" is killed
    And 2.5 s go by
    Then nobody owns the group
    When a caller of "settle" at "west-1" runs "WRITE turn 1"
    Then it is refused as not run within 2 ms
    When the store comes back
    And 2 s go by
    And a caller of "settle" at "west-1" runs "WRITE turn 1"
    Then it is done

  Scenario: A candidate is lost in the middle of an outage of the store
    While the store does not answer it, a candidate promises for longer: it
    can't claim anyway. So its loss stops no writes before the outage ends.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the store goes down
    And 2 s go by
    And "north-1" is killed
    And 2 s go by
    And the store comes back
    And 2 s go by
    Then "east-1" owns the group
    And no write was done for 0 to 0.2 s at most

  Scenario: The store refuses only the owner
    The owner can't renew its lease while all others can. One of them renews it
    for the owner, so its key stays and callers notice nothing.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the store is cut off from "east-1"
    And 5 s go by
    Then "east-1" owns the group
    And the owner's key is in the store
    And no write was done for 0 to 0.2 s at most
    And no two proxies owned the group at once

  Scenario: An owner that the store refuses stops
    It can't delete its key, and a peer keeps its lease alive. Its word that the
    reign is over must do, or callers would wait until its process has ended.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the store is cut off from "east-1"
    And 2 s go by
    And "east-1" hands over
    And 1 s goes by
    Then another proxy than "east-1" owns the group
    And no write was done for 0.05 to 0.6 s at most
    And no two proxies owned the group at once

  Scenario: An owner that is cut off has stopped before the next one starts
    The owner reaches nobody, but the primary still reaches it. It stops by
    itself with its lease and its promises, on its own clock. The next owner
    acts only after that.
    Given proxies "north-1, east-1, west-1"
    When "east-1" is cut off from proxies and store
    And 3 s go by
    Then another proxy than "east-1" owns the group
    And no two proxies owned the group at once

  Scenario: A process that was suspended tells nothing of an old primary
    The owner sends a read and a write, then the instance is suspended for five
    seconds, and the answers arrive. Another may own the group by now: the read
    is not passed on, and of the write nobody can say that it was kept. The group
    is claimed again once, when the lease is sure again.
    Given proxies "east-1"
    When a caller of "settle" at "east-1" runs "READ turn" across a suspension
    Then it is refused as not run within 900 ms
    Given the suspension is over
    Then the group was claimed 2 times
    When a caller of "settle" at "east-1" runs "WRITE turn 0"
    Then it is done
    When a caller of "settle" at "east-1" runs "WRITE turn 1" across a suspension
    Then its outcome is unknown

  Scenario: A new owner's token is above those before
    Given proxies "north-1, east-1, west-1"
    When each proxy is killed in turn and started again after 3 s
    Then each claim's token is above the one before

  Scenario: A stopping proxy hands its group over
    The owner is told to stop. It gives the group to the best placed peer, which
    looks at the primary and goes on; callers at other proxies see no gap.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When "east-1" hands over
    And 1 s goes by
    Then another proxy than "east-1" owns the group
    And no write was done for 0 to 0.25 s at most
    And no two proxies owned the group at once

  Scenario: A stopping owner keeps its group while the store is away
    The store goes down in the moment in which the owner is told to stop. Given
    up now, the group would have no owner before the store is back, and every
    write would be refused. The owner serves on, and hands over then.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the store goes down
    And "east-1" begins to hand over
    And 2 s go by
    Then "east-1" owns the group
    When the store comes back
    And 2 s go by
    Then another proxy than "east-1" owns the group
    And no write was done for 0 to 1 s at most
    And no two proxies owned the group at once

  Scenario: A stopping owner keeps its group while the store is slow
    Each call takes the store 0.3 s, and a handover takes three. The owner hands
    over once the store is prompt again; callers notice little.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When each answer of the store takes 0.3 s
    And "east-1" begins to hand over
    And 2 s go by
    Then "east-1" owns the group
    When the store comes back
    And 2 s go by
    Then another proxy than "east-1" owns the group
    And no write was done for 0 to 0.6 s at most

  Scenario: A slow store lets no lease lapse
    Each answer takes a quarter of a second, longer than peers are given to renew
    a lease for another. Asked one after the other they took more than a lease's
    time; the store's own answer, which was there long before, ends the wait.
    Given proxies "north-1, north-2, east-1, east-2, west-1, west-2, west-3"
    And a caller of "settle" at "west-1" writes every 20 ms
    When each answer of the store takes 0.26 s
    And 4 s go by
    Then no proxy's lease has lapsed
    And the group was claimed 1 times
    And no write was done for 0 to 0.2 s at most

  Scenario: What is open when the owner stops may end
    A transaction is open at the primary. The stopping owner waits until it is
    committed, then gives the group up; the transaction's caller notices nothing.
    Given proxies "north-1, east-1, west-1"
    When a caller of "settle" at "west-1" begins and runs "WRITE turn 1"
    And "east-1" begins to hand over
    And 1 s goes by
    And the same caller runs "COMMIT"
    Then it is done
    When 0.5 s goes by
    Then another proxy than "east-1" owns the group
    And no two proxies owned the group at once

  Scenario: No write's end is in doubt when the owner stops
    Writes are under way at the primary in every moment. The stopping owner
    starts no more of them and has the answers of all before its reign ends.
    Given proxies "north-1, east-1, west-1"
    And 8 callers of "settle" at "west-1" write without a pause
    When "east-1" hands over
    And 1 s goes by
    Then another proxy than "east-1" owns the group
    And nobody is told that the end of a write is in doubt

  Scenario: A silent watch does not keep an old configuration in force
    The store's watches hear nothing, although nothing is reported as broken. One
    proxy asks how far the store is; what the watch does not bring is listed.
    Given proxies "north-1, east-1, west-1"
    When the watches go deaf
    And the operator drops the route "browse"
    And 2.5 s go by
    Then no proxy lets a caller of "browse" in

  Scenario: A proxy that the store does not serve learns the newest from peers
    Given proxies "north-1, east-1, west-1"
    When the store is cut off from "west-1"
    And the operator drops the route "browse"
    And 1 s goes by
    Then no proxy lets a caller of "browse" in

  Scenario: Who promised waits before it claims
    The store was down and all keys have lapsed; the owner goes on by promises.
    The store is back for all but the owner, and in this moment one candidate
    misses the owner's answers. It claims, but its own promise still binds it:
    the owner counts on it until then.
    Given proxies "north-1, east-1, west-1"
    When the store is down for 2 s
    And the store is cut off from "east-1"
    And nothing passes from "east-1" to "north-1"
    And 5 s go by
    Then another proxy than "east-1" owns the group
    And no two proxies owned the group at once

  Scenario: Promises carry on only what still holds
    An owner was held up until its lease and all promises were over. Another may
    have owned the group since. Promises that come again prove nothing.
    Given a reign that a promise held up
    When 2 s go by without any
    And the promise is made again
    Then the reign does not hold

  Scenario: A promise stays withheld for one group as another is claimed
    Guards against a claim that waits without end for promises made meanwhile.
    Given a process that has just started
    When it withholds promises to "east-1" for groups "songbook" and "ledger"
    And the group "songbook" is claimed
    Then it promises "east-1" nothing
    When the group "ledger" is claimed
    Then it promises "east-1" again

  Scenario: A process that starts is bound as the one before it
    The one before may have promised just before it ended, and promises are kept
    in memory alone.
    Given a process that has just started
    Then it is bound to any owner for 4 s
