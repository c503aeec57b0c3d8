Feature: Transactions stay whole and apart, and answers go to who asked
  Each scenario runs as the product is, and once without its safeguard.

  Scenario Outline: A caller leaves in the midst of its transaction, without <safeguard>
    Ana's phone goes away with her transaction open. Lent on as it is, the
    connection would run the next caller's statements inside hers.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ana" comes to "p2"
    And caller "ben" comes to "p2"
    And caller "ana" begins a transaction and writes "turn" in it
    And caller "ana" leaves
    And caller "ben" writes "song"
    Then caller "ben" is told "done"
    And the promise "transactions never interleave" is <verdict>

    Examples:
      | safeguard         | verdict |
      | none              | kept    |
      | closed connection | broken  |

  Scenario Outline: The connection breaks in the midst of a transaction, without <safeguard>
    The first write is undone with the connection. To go on would commit the
    second alone, and tell the caller that both are there.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ana" comes to "p2"
    And caller "ana" begins a transaction and writes "first" in it
    And the connections of "p2" to the primary break
    And caller "ana" writes "second" in it
    And caller "ana" writes "third" in it
    And caller "ana" commits "first,third"
    Then caller "ana" is told "<told>"
    And the promise "acknowledged writes are kept" is <verdict>

    Examples:
      | safeguard  | told    | verdict |
      | none       | not run | kept    |
      | lost state | done    | broken  |

  Scenario Outline: A late answer goes to nobody else, without <safeguard>
    Ana's read takes too long and she is refused. Her answer still comes, on
    a connection that must not be lent again: Ben would read it as his own.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ana" comes to "p2"
    And caller "ben" comes to "p2"
    And caller "ana" writes "song"
    And caller "ana" reads "song"
    And database 2 takes 100 times as long
    And caller "ana" starts to read "song" within 0.05 s
    And it goes on for 0.06 s
    And database 2 takes 1 times as long
    And caller "ben" reads "song"
    Then caller "ben" is told "done"
    And the promise "a caller gets its own answer" is <verdict>

    Examples:
      | safeguard        | verdict |
      | none             | kept    |
      | discarded answer | broken  |

  Scenario Outline: The answer to a COMMIT is lost, without <safeguard>
    The commit took effect and its answer never came. The id that went in
    with it tells the proxy, on a new connection, that it did.
    Given proxies in three zones, with the safeguard "<safeguard>" taken out
    When caller "ana" comes to "p2"
    And caller "ana" begins a transaction and writes "pay" in it
    And caller "ana" starts with id "k1" to commit "pay"
    And the connections of "p2" break once "pay" has run
    Then caller "ana" is told "<told>"
    And the promise "not run means not run" is <verdict>

    Examples:
      | safeguard  | told    | verdict |
      | none       | done    | kept    |
      | request id | not run | broken  |
