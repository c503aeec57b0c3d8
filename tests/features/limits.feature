Feature: Limits on the load of a target
  Slots are scarce: a request that can't be answered in time is refused at once.

  Scenario: A request that can't be answered in time is refused on arrival
    The target is busy and enough requests are queued already, so that waiting
    would use up the caller's time in vain. The caller gets "not run" at once,
    with a retry delay.
    Given a target of 1 slot that takes 20 ms for a statement
    When 40 requests with 200 ms to answer arrive at once through one proxy
    Then 3 to 10 are answered
    And 0 to 0 are late
    And the others are refused within 0 ms with cause "overload"

  Scenario: A request that waits for a frozen target is refused at its deadline
    The request was queued while the target was fast; then the target froze and
    released no slot. The caller gets "not run" at its deadline, not later.
    Given a target of 1 slot that takes 20 ms for a statement
    And the target has answered 30 statements
    When the target freezes
    And 3 requests with 300 ms to answer arrive at once through one proxy
    Then 1 to 1 are late
    And the others are refused within 300 ms with cause "deadline"
    When one more holds its slot for 1 s and another request arrives
    Then the others are refused within 0 ms with cause "overload"

  Scenario: A caller that cancels in the queue leaks no slot
    Given a target of 1 slot that takes 20 ms for a statement
    When callers cancel while queued and at the moment of their turn
    Then no slot is taken and no request is queued

  Scenario: Classes share an overloaded target by their weights
    Two classes send far more than the target can do, and one has three times
    the weight of the other. Both are served by their weights. A third class
    that sends little is served in full.
    Given a target of 3 slots that takes 20 ms for a statement
    When these classes ask for 10 s through one proxy
      | class  | weight | requests a second |
      | queue  | 3      | 300               |
      | browse | 1      | 300               |
      | settle | 1      | 5                 |
    Then "queue" gets 2.5 to 3.5 times the answers of "browse"
    And at least 95 % of "settle" are answered
    And 99 % of all refusals come within 20 ms

  Scenario: Goodput holds at five times the capacity
    Six proxies send five times what the target can do. Without limits it
    would work on statements whose callers have already timed out, and answer
    almost none in time.
    Given a target of 3 slots that takes 20 ms for a statement
    When five times its capacity arrives for 10 s through 6 proxies
    Then answers in time are at least 90 % of its capacity
    And 99 % of all refusals come within 20 ms

  Scenario: The concurrency limit adapts to the target
    Given a target of 3 slots that takes 20 ms for a statement
    Then the limit starts at 1
    When the target has answered 200 statements
    Then the limit is 3
    When the target slows down to 200 ms and answers 60 statements
    Then the limit is 1
    When the target has answered 300 statements
    Then the limit is 3

  Scenario: Retries stay a small share of the requests
    Every target fails and each of a thousand requests could be retried. If all
    were, the load of the failing targets would double.
    Given a target of 3 slots that takes 20 ms for a statement
    When 1000 requests in 10 s all ask for a retry
    Then at least 100 and at most 140 retries are allowed
