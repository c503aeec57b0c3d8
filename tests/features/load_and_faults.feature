Feature: What callers get under load and faults
  Each scenario puts a load or a fault on the proxies and checks what callers
  receive, and when.

  Scenario: Idle transactions leave connections to single statements
    More callers than there are connections have a transaction open and pause in
    it. This guards against a deadlock: single statements held the target's
    slots while waiting for a connection, which transactions held that waited
    for a slot. Some connections are reserved for single statements.
    Given proxies "east-1"
    When 40 callers of "settle" rest 0.1 s in each of their transactions' steps
    And 6 others write every 0.1 s for 4 s
    Then at least 98 % of the others' writes were done within 150 ms

  Scenario: A burst of transactions has no lasting effect
    Four times as many callers as the primary has connections begin transactions
    at once. One second after the burst, statements are as fast as before.
    Given proxies "east-1"
    When 80 callers of "settle" rest 0.05 s in each of their transactions' steps
    And 2 s go by
    And the load ends
    And 1 s goes by
    And 6 others write every 0.1 s for 2 s
    Then at least 100 % of the others' writes were done within 100 ms

  Scenario: A transaction that has begun is not refused later
    Twice as many callers as the primary can serve run transactions without
    pauses. Some are refused at their first statement. A transaction that has
    run it continues to the end, so that no work is wasted and repeated.
    Given proxies "east-1"
    And a statement takes the targets 0.12 s
    When 60 callers of "settle" rest 0 s in each of their transactions' steps
    And 3 s go by
    Then transactions were refused before their first statement only

  Scenario: Under a lasting overload, served statements meet their objective
    For four seconds, twice as many writes arrive as the primary can run. A queue
    as long as the deadlines allow would make every served write late without
    serving more of them. The excess is refused at once and can be retried.
    Given proxies "east-1"
    And a statement takes the targets 0.03 s
    When 40 others write every 0.2 s for 4 s
    Then at least 85 % of what the primary can run in 4 s was done
    And at least 80 % of what was done in the last 2 s was done within 150 ms
    And all refusals in the last 2 s took 20 ms at most

  Scenario: A short burst is served late rather than refused
    A third of a second's work arrives at once, too much to meet the objective,
    with no load after it. All of it is done before the deadline.
    Given proxies "east-1"
    And a statement takes the targets 0.03 s
    When 33 others write every 5 s for 1 s
    Then at least 100 % of the others' writes were done within 800 ms

  Scenario: A new primary serves callers while readers still hold connections
    Readers hold most connections of the promoted target and close them late.
    The few connections that the owner can open serve all callers in turn, and
    no caller is refused for those that it cannot open.
    Given proxies "east-1"
    When a caller of "settle" at "east-1" runs "WRITE turn 1"
    And others hold all other connections of the primary
    And 12 others write every 0.1 s for 2 s
    Then at least 100 % of the others' writes were done within 250 ms

  Scenario: All connections are used as soon as a shortage ends
    While the primary accepts no more connections, callers queue for the only
    one. When it accepts more, all of them are opened at once instead of one at
    each return of a connection.
    Given proxies "east-1"
    And a statement takes the targets 0.08 s
    When a caller of "settle" at "east-1" runs "WRITE turn 1"
    And others hold all other connections of the primary
    And 20 callers of "settle" rest 0 s in each of their transactions' steps
    And the others close their connections
    And 1 s goes by
    Then the primary runs as many statements at once as it can

  Scenario: The zone of the owner and of the primary is cut off
    While the owner's lease expires, the other proxies detect that the primary
    does not answer them either. The next owner replaces it right after its
    claim.
    Given proxies "north-1, east-1, west-1"
    And a caller of "settle" at "west-1" writes every 20 ms
    When the zone "east" is cut off
    And 3 s go by
    Then another proxy than "east-1" owns the group
    And no write was done for 0.9 to 1.5 s at most
    And no two proxies owned the group at once

  Scenario: An isolated owner reports early that it is not ready
    The owner loses the store and all peers at once. Its lease, still
    valid, will expire before the load balancer acts, which takes two failed
    readiness checks. Reporting early moves callers elsewhere in time.
    Given proxies "north-1, east-1, west-1"
    When "east-1" is cut off from proxies and store
    And 0.6 s goes by
    Then "east-1" is not ready
    And "north-1" is ready
    When all cuts heal
    And 1.5 s go by
    Then "east-1" is ready

  Scenario: A lost peer during a store outage does not make proxies unready
    The store has been down for a while when a peer is lost too. This must not be
    taken for a network partition with the store on the other side: the owner
    continues by its peers' promises.
    Given proxies "north-1, east-1, west-1"
    When the store goes down
    And 2 s go by
    And "north-1" is cut off from proxies and store
    And 0.7 s goes by
    Then "west-1" is ready
    And "east-1" is ready

  Scenario: Callers are disconnected once the load balancer removes the proxy
    The balancer removes a proxy after two failed readiness checks. Callers
    disconnected earlier reconnect here; until they are disconnected, they are
    refused.
    Given a proxy that the balancer checks
    When the balancer is told "ready"
    And the balancer is told "not ready"
    And 1 s goes by
    Then the proxy counts as in rotation
    When the balancer is told "not ready"
    And 0.1 s goes by
    Then the proxy counts as out of rotation
    When the balancer is told "ready"
    Then the proxy counts as in rotation

  Scenario: Callers are disconnected though readiness checks are lost
    Given a proxy that the balancer checks
    When the balancer is told "not ready"
    And 2.3 s go by
    Then the proxy counts as out of rotation

  Scenario: Reads use the primary's free capacity after the loss of a replica
    One of two replicas is down, and a third more reads arrive than the other can
    serve. Without this they queued at the replica until their deadlines, while
    the primary was almost idle. The primary serves the reads that find no free
    slot.
    Given proxies "east-1, north-1, west-1"
    And a statement takes the targets 0.03 s
    And the replica in "west" is lost
    When 65 others read "browse" every 0.5 s for 4 s
    Then at least 97 % of the others' reads were done within 150 ms

  Scenario: Reads do not delay the writes of a busy primary
    As above, but the primary is busy with writes. Reads that find no free slot
    queue at the replica, and writes are as fast as without any reads.
    Given proxies "east-1, north-1, west-1"
    And a statement takes the targets 0.03 s
    And the replica in "west" is lost
    When 12 others write every 0.2 s beside 65 that read "browse" for 4 s
    Then at least 97 % of the others' writes were done within 150 ms
