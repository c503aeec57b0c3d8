Feature: Reads only run on targets that meet their consistency requirement

  Scenario: The primary is lost while a read waits for a replica
    A caller reads data that only the primary has, and the primary fails while
    the proxy waits for a replica to catch up. The read must end by its
    deadline. A wait until a moment that has already passed would return at
    once, and the loop around it would block the proxy for all callers.

    Given replicas that lag by 5 s and a token that only the primary covers
    When a read with a deadline of 1 s waits for a replica and the primary is killed
    Then the read is answered by its deadline
    And the proxy ranked the targets fewer than 500 times

  Scenario: All eligible targets are overloaded while another replica lags
    All eligible targets refuse admission, and another replica lags too much
    to be eligible. Waiting for it would delay the refusal and its retry time
    until the caller's deadline, so the read is refused at once.

    Given a replica that lags by 5 s and two targets that refuse admission
    When a read with a deadline of 1 s is sent
    Then it is refused before any time has passed
    And the refusal names the target that it came from
