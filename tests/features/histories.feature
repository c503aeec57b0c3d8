Feature: Random histories break no promise
  Callers write, read, roam and run transactions while databases, proxies,
  zones and the platform fail at random, alone and together. The callers'
  notes are held against what the databases truly kept.

  Scenario: Fixed seeds break no promise
    Given the random histories of seeds 1 to 48
    When they run on 4 cores
    Then they made requests, and failures happened to them
    And none of them broke a promise

  Scenario Outline: Without <safeguard>, some history breaks a promise
    The checkers are only worth something if they see a fault that is there.
    The product is run with one safeguard taken out, seed after seed.
    Given random histories with the safeguard "<safeguard>" taken out
    When at most <seeds> of them run
    Then one of them broke the promise "<promise>"

    Examples:
      | safeguard         | seeds | promise                                  |
      | majority evidence | 24    | acknowledged writes are kept             |
      | covered point     | 24    | read-your-writes                         |
      | discarded answer  | 24    | a caller gets its own answer             |
      | request id        | 24    | non-idempotent requests run at most once |
