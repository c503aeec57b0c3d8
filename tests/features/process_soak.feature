Feature: Proxies as processes under random faults
  Real processes and stand-ins over sockets; processes are paused, killed and
  stopped, databases and the store fail, two series of faults at a time.

  Scenario: A fixed seed breaks no promise
    Callers write and read items of their own. Nothing acknowledged is missed, a
    write runs at most once and never where it was said not to, each statement
    is answered, tokens of orders never go down, and in the end all works again.
    When the processes run for 8 s under the faults of seed 1
    Then callers were served, and faults happened to them
    And no promise was broken

  Scenario: An owner whose key is deleted does not go on beside the next owner
    Guards against an owner that holds by its lease after its key has gone: the
    next owner promotes another target, and both acknowledge.
    When the processes run with seed 1 until an owner is displaced
    Then callers were served, and faults happened to them
    And no promise was broken

  Scenario: A claim that is answered under another lease makes no owner
    Guards against an owner by a lease that its key is not bound to: the key has
    ended with the former lease, and the next owner finds none.
    When the processes run with seed 1 until a claim outlives its lease
    Then callers were served, and faults happened to them
    And no promise was broken
