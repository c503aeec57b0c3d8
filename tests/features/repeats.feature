Feature: A repeated request tells the truth about its first run

  Scenario: The first run is found on a primary that loses its place
    A caller repeats a request by its id. The proxy finds the first run on a
    primary that nobody copied it from; before it has read that primary's log
    end, another one is promoted and the old one follows it and drops the
    run. The new log end is durable, yet it says nothing of the run: the
    caller may be told "done" only because the request ran anew.

    Given a first run that only the primary holds
    When the request is repeated and the primary is replaced as the run is found
    Then the caller is told "done"
    And the run is once on the current primary

  Scenario: A connection is awaited from a target that froze
    A caller writes for the first time, so a connection is opened. The target
    freezes before it answers: no connection breaks, nothing is refused. The
    wait must end when the target is suspected, and the write must be done by
    the next primary long before the caller's deadline.

    Given a proxy with no connection yet to a primary that just froze
    When an idempotent write with a deadline of 20 s is sent
    Then it is done within 4 s
