Feature: A retried request reports the true outcome of its first run

  Scenario: The first run is found on a primary that is then replaced
    A caller retries a request with the same id. The proxy finds the first
    run on the primary, but no replica has it. Before the proxy reads the log
    end, another target is promoted, and the old primary follows it and
    discards the run. The log end that is read then is durable but does not
    cover the run, so "done" is correct only if the request runs again.

    Given a first run that has not been replicated from the primary
    When the request is retried and the primary is replaced after the lookup
    Then the caller gets the outcome "done"
    And the write is on the current primary exactly once

  Scenario: A target freezes while a connection to it is opened
    A caller's first write opens a connection, and the target freezes before it
    answers, so the attempt neither fails nor is refused. Once the target is
    suspected, the wait must end, and the write must run on the next primary
    long before the caller's deadline.

    Given a proxy without a connection to the primary, which has frozen
    When an idempotent write with a deadline of 20 s is sent
    Then it is done within 4 s
