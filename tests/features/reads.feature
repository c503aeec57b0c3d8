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
