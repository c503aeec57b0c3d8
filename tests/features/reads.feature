Feature: Reads go to a target that provably may serve them

  Scenario: The primary is lost while a read waits for a replica
    A caller reads what only the primary has yet. The proxy waits a moment
    for a replica to catch up; in that moment the primary dies. The caller
    must get its refusal by its deadline, and the proxy must go on serving
    others meanwhile: it may not look again and again at a moment past.

    Given replicas that lag by 5 s and a token that only the primary covers
    When a read with a deadline of 1 s begins and the primary dies in its wait
    Then the read is answered by its deadline
    And the proxy looked for a target fewer than 500 times

  Scenario: All targets that may serve are full while a replica lags
    A caller reads under overload. The replicas that may serve refuse at the
    door; another one lags and may not serve. Waiting for it would hold the
    refusal back until the caller's deadline, and the time to come back with
    it; the refusal is final at once.

    Given a replica that lags by 5 s and two targets that refuse at the door
    When a read with a deadline of 1 s is sent
    Then it is refused before any time has passed
    And the refusal names the target that it came from
