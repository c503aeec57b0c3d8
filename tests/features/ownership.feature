Feature: One owner of a group at a time
  Only the owner uses the primary. Its ownership is valid by a lease in the
  store, or by the promises of all candidates not to claim.

  Scenario: The proxy that ranks highest owns a group
    Three proxies start at once and compute the same ranking. The one in the
    zone of the primary claims; the others must not.
    Given proxies "north-1, east-1, west-1"
    Then "east-1" owns the group
    And the group was claimed 1 times

  Scenario: A proxy that forwards and the owner see the same data
    Given proxies "north-1, east-1, west-1"
    When a caller of "settle" at "west-1" runs "WRITE turn 1"
    Then it is done
    When a caller of "settle" at "north-1" runs "READ turn"
    Then it is done with "1"

  Scenario: Another proxy takes over after the owner is killed
    Writes fail until the lease of the killed owner has expired and another
    proxy has claimed the group. Two proxies must never own it at once.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When "east-1" is killed
    And 3 s go by
    Then another proxy than "east-1" owns the group
    And no write was done for 0.5 to 1.4 s at most
    And no two proxies owned the group at once
    And every acknowledged write is on the primary

  Scenario: A process that restarts within its lease claims its group again
    The owner is killed and starts again before its lease expires. Its key is
    still in the store, so no other proxy can have claimed the group.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When "east-1" is killed
    And 0.3 s go by
    And "east-1" starts again
    And 2 s go by
    Then "east-1" owns the group
    And no write was done for 0.2 to 0.9 s at most

  Scenario: An outage of the store stops no writes
    The store is down for six times the lease. The owner goes on, as all
    candidates keep sending promises not to claim.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the store is down for 6 s
    And 2 s go by
    Then "east-1" owns the group
    And no write was done for 0 to 0.2 s at most
    And no two proxies owned the group at once

  Scenario: The owner stops when both the store and a candidate are lost
    The lost candidate may have claimed the group just before the outage, so the
    owner stops when its lease expires. Writes are refused as not run at once
    until the outage is over.
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

  Scenario: A candidate is lost during an outage of the store
    A candidate that the store does not answer can't claim and makes longer
    promises, so its loss stops no writes before the outage ends.
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
    Only the owner can't renew its lease. A peer renews it instead, so the owner
    keeps its key and callers see no gap.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the store is cut off from "east-1"
    And 5 s go by
    Then "east-1" owns the group
    And the owner's key is in the store
    And no write was done for 0 to 0.2 s at most
    And no two proxies owned the group at once

  Scenario: An owner that the store refuses hands over
    The owner can't delete its key, and a peer renews its lease. The release
    that it announces to its peers must suffice; otherwise callers would wait
    until its process has ended.
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
    The owner reaches only the primary. By its own clock it stops once its lease
    has expired, as well as the promises to it, before the next owner starts.
    Given proxies "north-1, east-1, west-1"
    When "east-1" is cut off from proxies and store
    And 3 s go by
    Then another proxy than "east-1" owns the group
    And no two proxies owned the group at once

  Scenario: The owner's key goes while its lease is renewed
    The store refuses the owner, whose lease a peer renews; the peers don't hear
    the owner. Then its key is deleted. Guards against a second owner that takes
    the absence of the key for the end of the lease.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the store is cut off from "east-1"
    And connections to "east-1" fail
    And 2 s go by
    Then "east-1" owns the group
    And the owner's key is in the store
    When the owner's key is deleted
    And 6 s go by
    Then another proxy than "east-1" owns the group
    And no two proxies owned the group at once

  Scenario: An owner that reaches the store writes its key again
    Its peers don't hear it. Guards against candidates that end its lease before
    it has seen that its key is gone.
    Given proxies "north-1, east-1, west-1"
    When connections to "east-1" fail
    And 2 s go by
    And the owner's key is deleted
    And 2 s go by
    Then "east-1" owns the group
    And the owner's key is in the store
    And no proxy's lease has lapsed
    And no two proxies owned the group at once

  Scenario: A candidate of another group ends the lease of the owner
    All keys of an instance are bound to one lease. Guards against a claim right
    after its end, while the owner still counts on it.
    Given proxies "north-1, east-1, west-1"
    When connections to "east-1" fail
    And 2 s go by
    And the store is cut off from "east-1"
    And a candidate of another group ends the lease of "east-1"
    And 3 s go by
    Then another proxy than "east-1" owns the group
    And no two proxies owned the group at once

  Scenario: A proxy that is no candidate outwaits the promises to an owner
    Candidates hear the owner and promise not to claim. Guards against a second
    owner for up to 30 s: a proxy that hears nobody ends the owner's lease, which
    promises extend from then on.
    Given 10 proxies in three zones
    When a proxy that is no candidate is cut off from all others
    And the store is cut off from the owner
    And the owner's key is deleted
    And 80 s go by
    Then another proxy than the first owner owns the group
    And no two proxies owned the group at once

  Scenario: A takeover after an owner of an earlier version
    Its record names no lease. The next owner waits for the time of a lease
    after the key is gone, and then claims.
    Given proxies "north-1, east-1, west-1"
    When the record of the group names no lease
    And 0.5 s go by
    And "east-1" is killed
    And 1.8 s go by
    Then nobody owns the group
    When 1 s goes by
    Then another proxy than "east-1" owns the group

  Scenario: A suspended process returns no answer of a superseded primary
    The owner is suspended for five seconds while a statement runs. When the
    answer arrives, another proxy may own the group: a read is refused, the
    outcome of a write is unknown. The group is claimed once more, under a valid
    lease.
    Given proxies "east-1"
    When a caller of "settle" at "east-1" runs "READ turn" across a suspension
    Then it is refused as not run within 900 ms
    Given the suspension is over
    Then the group was claimed 2 times
    When a caller of "settle" at "east-1" runs "WRITE turn 0"
    Then it is done
    When a caller of "settle" at "east-1" runs "WRITE turn 1" across a suspension
    Then its outcome is unknown

  Scenario: The token of a new owner is above all earlier ones
    Given proxies "north-1, east-1, west-1"
    When each proxy is killed in turn and started again after 3 s
    Then each claim's token is above the one before

  Scenario: A stopping proxy hands its group over
    The stopping owner hands the group over to the peer that ranks highest, so
    that callers at other proxies see no gap.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When "east-1" hands over
    And 1 s goes by
    Then another proxy than "east-1" owns the group
    And no write was done for 0 to 0.25 s at most
    And no two proxies owned the group at once

  Scenario: A stopping owner keeps its group while the store is down
    The store goes down as the owner begins to stop. Released now, the group
    would have no owner and all writes would be refused until the store is back.
    The owner hands over after that.
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
    Each call takes 0.3 s and a handover needs three, so the owner hands over
    only once the store answers quickly again.
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
    Each answer takes longer than a peer is given to relay a renewal. Relays by
    one peer after the other took longer than the lease lasts; the direct answer
    of the store has to cancel them.
    Given proxies "north-1, north-2, east-1, east-2, west-1, west-2, west-3"
    And a caller of "settle" at "west-1" writes every 20 ms
    When each answer of the store takes 0.26 s
    And 4 s go by
    Then no proxy's lease has lapsed
    And the group was claimed 1 times
    And no write was done for 0 to 0.2 s at most

  Scenario: A transaction that is open when the owner stops may commit
    The stopping owner releases the group only after the open transaction has
    been committed.
    Given proxies "north-1, east-1, west-1"
    When a caller of "settle" at "west-1" begins and runs "WRITE turn 1"
    And "east-1" begins to hand over
    And 1 s goes by
    And the same caller runs "COMMIT"
    Then it is done
    When 0.5 s goes by
    Then another proxy than "east-1" owns the group
    And no two proxies owned the group at once

  Scenario: No write has an unknown outcome when the owner stops
    The stopping owner starts no more writes, and has the answers to all pending
    ones before its ownership ends.
    Given proxies "north-1, east-1, west-1"
    And 8 callers of "settle" at "west-1" write without a pause
    When "east-1" hands over
    And 1 s goes by
    Then another proxy than "east-1" owns the group
    And no write has an unknown outcome

  Scenario: A silent watch does not keep an old configuration in force
    The watches deliver no changes and no errors. One proxy polls the revision
    of the store; proxies whose watch lags behind it list the store again.
    Given proxies "north-1, east-1, west-1"
    When all watches stop delivering changes
    And the operator drops the route "browse"
    And 2.5 s go by
    Then no proxy lets a caller of "browse" in

  Scenario: A proxy that is cut off from the store gets changes from peers
    Given proxies "north-1, east-1, west-1"
    When the store is cut off from "west-1"
    And the operator drops the route "browse"
    And 1 s goes by
    Then no proxy lets a caller of "browse" in

  Scenario: A candidate waits for the end of its promise before it claims
    After an outage all keys have expired, and promises extend the ownership.
    The store is back for all but the owner, one candidate misses the heartbeats
    of the owner. It may claim only after its own promise has expired.
    Given proxies "north-1, east-1, west-1"
    When the store is down for 2 s
    And the store is cut off from "east-1"
    And nothing passes from "east-1" to "north-1"
    And 5 s go by
    Then another proxy than "east-1" owns the group
    And no two proxies owned the group at once

  Scenario: An old view is no proof that the owner has ended
    A candidate that the store refused for a while knows the previous process of
    the owner only. After an outage its first claim fails, and the answer names
    the owner's present process. Guards against a second owner: the candidate
    took the entry of the earlier process for a later one, and neither its own
    promise nor the owner's report kept it from claiming.
    Given proxies "north-1, east-1, west-1, west-2"
    When "east-1" is killed
    And "north-1" is killed and starts again
    And "west-1" is killed and starts again
    And "west-2" is killed and starts again
    And 2 s go by
    And the store is cut off from "north-1"
    And 0.3 s go by
    And "west-1" is killed and starts again
    And 0.6 s go by
    And "west-2" is killed and starts again
    And 7 s go by
    Then "west-1" owns the group
    When the store goes down
    And all cuts heal
    And the store is cut off from "west-1"
    And the store is cut off from "west-2"
    And 2.5 s go by
    And the store comes back
    And 2 s go by
    Then no two proxies owned the group at once

  Scenario: Promises extend only an ownership that is still valid
    After the lease and all promises have expired, another proxy may have owned
    the group. New promises must not restore the ownership.
    Given an ownership that a promise extends
    When 2 s go by without a promise
    And the promise is made again
    Then the ownership is not valid

  Scenario: A promise dated by the clock before a restart extends nothing
    A candidate that kept its link dates promises by the owner's last clock
    reading. Guards against an ownership that outlasts its promises by up to
    30 s after the owner's instance has restarted, as its clock starts at 0.
    Given an ownership that a promise extends
    When a promise is dated 60 s after the owner's clock
    And 2 s go by without a promise
    Then the ownership is not valid

  Scenario: Promises stay withheld for one group when another is claimed
    Guards against a claim that waits forever for promises made meanwhile.
    Given a process that has just started
    When it withholds promises to "east-1" for groups "songbook" and "ledger"
    And the group "songbook" is claimed
    Then it promises "east-1" nothing
    When the group "ledger" is claimed
    Then it promises "east-1" again

  Scenario: A process that starts is bound by promises of its predecessor
    Promises are kept in memory only, and the previous process may have made one
    just before it ended.
    Given a process that has just started
    Then it is bound to any owner for 4 s
