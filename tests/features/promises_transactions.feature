Feature: Transactions are atomic and isolated, and callers get their own answers
  Each scenario runs with all safeguards and once with one disabled.

  Scenario Outline: A caller disconnects during its transaction, without <safeguard>
    A caller disconnects with an open transaction. If its connection were
    reused, the next caller's statements would run in that transaction.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ben" connects to "p2"
    And caller "ana" begins a transaction and writes "turn" in it
    And caller "ana" leaves
    And caller "ben" writes "song"
    Then caller "ben" gets the outcome "done"
    And the promise "transactions never interleave" is <verdict>

    Examples:
      | safeguard         | verdict |
      | none              | kept    |
      | closed connection | broken  |

  Scenario Outline: The primary refuses a commit, without <safeguard>
    Guards against a connection that is used again while the transaction whose
    COMMIT was refused is still open on it: the next caller's write would become
    part of that transaction.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ben" connects to "p2"
    And the primary refuses the next commit
    And caller "ana" asks with id "one" to write "song"
    And caller "ben" writes "turn"
    Then caller "ben" gets the outcome "done"
    And the promise "transactions never interleave" is <verdict>

    Examples:
      | safeguard         | verdict |
      | none              | kept    |
      | closed connection | broken  |

  Scenario Outline: The connection breaks during a transaction, without <safeguard>
    The first write is rolled back with the connection. If the transaction
    continued, only the later writes would be committed, although the caller
    would get "done" for all of them.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ana" begins a transaction and writes "first" in it
    And the connections of "p2" to the primary break
    And caller "ana" writes "second" in it
    And caller "ana" writes "third" in it
    And caller "ana" commits "first,third"
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "acknowledged writes are kept" is <verdict>

    Examples:
      | safeguard  | outcome | verdict |
      | none       | not run | kept    |
      | lost state | done    | broken  |

  Scenario Outline: A late answer does not reach another caller, without <safeguard>
    A read exceeds its deadline, but its answer still arrives later. If the
    connection were reused, the next caller would get that answer.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ben" connects to "p2"
    And caller "ana" writes "song"
    And caller "ana" reads "song"
    And database 2 takes 100 times as long
    And caller "ana" starts to read "song" within 0.05 s
    And time advances by 0.06 s
    And database 2 takes 1 times as long
    And caller "ben" reads "song"
    Then caller "ben" gets the outcome "done"
    And the promise "a caller gets its own answer" is <verdict>

    Examples:
      | safeguard        | verdict |
      | none             | kept    |
      | discarded answer | broken  |

  Scenario Outline: The answer to a COMMIT is lost, without <safeguard>
    The commit took effect, but its answer was lost. The proxy finds the
    request id that was committed with it over a new connection.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When caller "ana" connects to "p2"
    And caller "ana" begins a transaction and writes "pay" in it
    And caller "ana" starts with id "k1" to commit "pay"
    And the connections of "p2" break once "pay" is committed
    Then caller "ana" gets the outcome "<outcome>"
    And the promise "not run means not run" is <verdict>

    Examples:
      | safeguard  | outcome | verdict |
      | none       | done    | kept    |
      | request id | not run | broken  |
