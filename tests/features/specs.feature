Feature: Model checks of the protocols
  Small specifications of the core protocols are searched exhaustively. Each
  safeguard is then taken out: what can't fail without it proves nothing.

  Scenario Outline: No order of steps breaks a promise
    Steps of databases, proxies, operators and the network come in any order;
    messages are lost or late, processes freeze and die at any point.
    When the specification "<specification>" is searched
    Then the search visits all of at least <states> states
    And it breaks no property

    Examples:
      | specification               | states |
      | promotion, two writes       | 120000 |
      | promotion, late records     | 45000  |
      | acknowledgement             | 300    |
      | operators                   | 600    |
      | configuration               | 150    |
      | ownership                   | 850000 |
      | ownership by a delay        | 380000 |
      | succession                  | 440    |
      | leaders                     | 56000  |
      | returns                     | 15000  |
      | versions                    | 500    |
      | feeds                       | 45000  |
      | limits                      | 3400   |
      | parts                       | 100000 |

  Scenario: Every accepted change can still come into force everywhere
    Then the specification "configuration" can always reach its goal
    And the newest version can always come into force everywhere

  Scenario: A version that is compared by its revision
    The store gives revisions out again: a newer version has a lower one.
    Then without "the store's document is compared by its version" the newest version may never come into force
    When the versions lack "a peer's copy is compared by its version"
    Then the search breaks "no older version comes into force" in 8 steps

  Scenario Outline: A promotion without one of its safeguards
    Two proxies promote in a group of three databases, callers write through
    whoever leads, and any number of proxies watch.
    When the promotion lacks "<safeguard>"
    Then the search breaks "<property>" in <steps> steps

    Examples:
      | safeguard                                                  | property                                 | steps |
      | a majority is fenced before a promotion                    | acknowledged writes are kept             | 4     |
      | the choice is made by what the fences answered             | acknowledged writes are kept             | 5     |
      | a target accepts a term once                               | one primary in a term                    | 6     |
      | a proxy counts only the fences that it won                 | one primary in a term                    | 6     |
      | a target is left out only if the rest is a majority        | acknowledged writes are kept             | 5     |
      | a proxy promotes one target in a term                      | one primary in a term                    | 4     |
      | a majority shows a write                                   | a watermark covers what was acknowledged | 1     |
      | term and log end come from one answer                      | acknowledged writes are kept             | 4     |
      | a token is compared by term first                          | a covered token is served                | 11    |
      | a log counts only if its fence protects it                 | a covered token is served                | 17    |
      | a watermark counts only answers asked for after its moment | a watermark covers what was acknowledged | 2     |

  Scenario: A promotion that chooses the longest log
    It takes three writes: two that nobody copied make the old primary's log
    as long as the log in which the third was acknowledged.
    When a promotion by one proxy among 3 writes lacks "the highest point is promoted, by term first"
    Then the search breaks "acknowledged writes are kept" in 12 steps

  Scenario: An acknowledgement on evidence from before a freeze
    When evidence from before a freeze is trusted
    Then the search breaks "nothing is acknowledged for a superseded primary" in 7 steps

  Scenario Outline: Operators without one of their safeguards
    Two operators change the store at once; answers are lost after the change
    took effect, and requests arrive after they were given up.
    When the operators lack "<safeguard>"
    Then the search breaks "<property>" in <steps> steps

    Examples:
      | safeguard                                       | property                            | steps |
      | a commit demands the head that its author has read | no change overwrites one unseen  | 4     |
      | a lost answer is looked up before a new attempt | a change takes effect once          | 5     |
      | a change that is not found is sent again, the same | what was refused never takes effect | 4  |

  Scenario Outline: A configuration without one of its safeguards
    Two proxies follow watches that restart, go backwards or hang, listings of
    a service whose members lag, and copies of each other.
    When the configuration lacks "<safeguard>"
    Then the search breaks "<property>" in <steps> steps

    Examples:
      | safeguard                                             | property                               | steps |
      | a listing that is older is refused                    | an accepted change is never reverted   | 3     |
      | a peer's copy that is not newer is refused            | an accepted change is never reverted   | 3     |
      | events below what is in force are passed over         | an accepted change is never reverted   | 6     |
      | a watch that goes backwards is replaced by a listing  | an accepted change is never reverted   | 5     |
      | a watch leaves out no change between two others       | what is in force is whole              | 3     |

  Scenario Outline: An ownership without one of its safeguards
    An owner holds a group by its lease and by the promises of a candidate. The
    store goes down, processes freeze and start anew, messages are late. The
    owner's key may be deleted while its lease goes on.
    When the ownership lacks "<safeguard>"
    Then the search breaks "<property>" in <steps> steps

    Examples:
      | safeguard                                               | property                                  | steps |
      | a lease counts from when its renewal was sent           | one owner at once                         | 8     |
      | a promise is dated by its owner's own clock             | one owner at once                         | 8     |
      | a candidate waits for the end of its promise            | one owner at once                         | 8     |
      | a process that starts is bound as if it had promised    | one owner at once                         | 9     |
      | promises extend only a valid ownership                  | no ownership is resumed after a later one | 9     |
      | a shorter promise does not shorten a longer one         | one owner at once                         | 9     |
      | an ownership ends before it is released                 | one owner at once                         | 4     |
      | a claim succeeds only if the key is absent              | one owner at once                         | 7     |
      | a claim succeeds only after the end of the lease        | one owner at once                         | 3     |
      | a candidate waits after the end of a marked lease       | one owner at once                         | 5     |
      | a lease is marked before it is ended                    | one owner at once                         | 5     |
      | a lease stays marked after another claim under it       | one owner at once                         | 7     |
      | what is known of a lease does not apply to the next one | one owner at once                         | 8     |
      | only the lease of its key extends an ownership          | one owner at once                         | 9     |

  Scenario Outline: A lease that ends before its time
    The documents of the store exclude it. A claim that waits for the time of a
    lease bears it, and a claim upon the end of the lease does not.
    When a lease may end early where a claim needs the proof "<design>"
    Then the search breaks "one owner at once" in <steps> steps

    Examples:
      | design      | steps |
      | absent key  | 3     |
      | ended lease | 4     |

  Scenario Outline: A succession without one of its safeguards
    An owner replaces the primary and loses the group to the next owner at any
    point; the store may be restored to an older state without the intent.
    When the succession lacks "<safeguard>"
    Then the search breaks "<property>" in <steps> steps

    Examples:
      | safeguard                                                   | property                                        | steps |
      | an owner checks its ownership before it returns an answer   | nothing is read from a superseded primary       | 7     |
      | an owner stops using a primary before it orders a promotion | nothing is acknowledged at a superseded primary | 4     |
      | an order is recorded before it is sent, and completed later | nothing is acknowledged at a superseded primary | 5     |
      | an order is discarded when its sender loses the group       | tokens of orders never go down                  | 6     |
      | an owner queries the targets after its claim                | nothing is acknowledged at a superseded primary | 6     |
      | a claim after a restore waits for older orders              | nothing is acknowledged at a superseded primary | 8     |
      | an owner remembers what it recorded before a restore        | nothing is acknowledged at a superseded primary | 6     |

  Scenario Outline: A choice of the leader without one of its safeguards
    Databases stop and resume answering at any time, and a superseded one reports
    itself as primary until it learns of the newer term. Owners change, and the
    store may lack the current primary or be restored to an older state.
    When the choice of a leader lacks "<safeguard>"
    Then the search breaks "no write is acknowledged in an older term" in <steps> steps

    Examples:
      | safeguard                                                             | steps |
      | an owner remembers the newest term that it has served                 | 8     |
      | an owner respects the newest term recorded in the store               | 8     |
      | a promotion is recorded together with the newest term that was served | 13    |
      | a lost target of a promotion may have led the next term               | 10    |
      | after a restore of the store all targets must answer first            | 9     |
      | an intent is obsolete once a target leads in a newer term             | 8     |

  Scenario Outline: An ownership across returns without one of its safeguards
    The store comes back twice, each time from the copy that was made last: an
    earlier owner's key is there, or none, and leases begin anew.
    When the ownership across returns lacks "<safeguard>"
    Then the search breaks "one owner at once" in <steps> steps

    Examples:
      | safeguard                                                       | steps |
      | a lease of an older era is not renewed                          | 5     |
      | a claim after a restore waits for older leases                  | 3     |
      | a claim after a restore waits for all promises                  | 4     |
      | an own key is no proof in a store that lost a claim             | 3     |
      | only an owner that is still valid claims at once                | 6     |

  Scenario Outline: Changes that are handed on without one of the safeguards
    Two proxies watch the store or follow each other; they start anew, stop, and
    forget what they kept, and what is handed on may be lost. The store may come
    back without its last change.
    When the handing on of changes lacks "<safeguard>"
    Then the search breaks "<property>" in <steps> steps

    Examples:
      | safeguard                                                  | property                                 | steps |
      | only watchers of the store forward changes                 | every follower follows a watcher         | 1     |
      | a watcher that stops ends its feeds                        | every follower follows a watcher         | 3     |
      | a follower that is too far behind gets a snapshot          | no change up to the known place is missed | 6     |
      | changes after a gap are refused                            | no change up to the known place is missed | 8     |
      | a watch continues in its own era only                      | no change up to the known place is missed | 7     |
      | changes of an older era are refused                        | no change up to the known place is missed | 8     |

  Scenario Outline: A limit that is kept without one of its safeguards
    Two counters have a part of a customer's limit each. They lose each other and
    start anew, one lends to the other, and what is lent may be late or lost; the
    window of time that is looked at begins at any moment.
    When the keeping of a limit lacks "<safeguard>"
    Then the search breaks "no window has more than the limit" in <steps> steps

    Examples:
      | safeguard                                           | steps |
      | who lends takes it out of its own part first        | 13    |
      | a counter that starts has an empty part             | 9     |
      | a part stays as it is when the others are not heard | 10    |
      | what is lent fills a part no further than it holds  | 16    |
      | what is lent is used once                           | 12    |

  Scenario Outline: A part of all limits that is given without a safeguard
    A proxy gives its part to one counter and then to another; what it sends is
    late or lost, and it hears each counter's clock now and then.
    When the giving of a part lacks "<safeguard>"
    Then the search breaks "no two counters hold one part" in <steps> steps

    Examples:
      | safeguard                                                 | steps |
      | a part is held from what was heard of the counter's clock | 6     |
      | a part is given to nobody else while it may be held       | 4     |
      | each time it is given, the wait begins anew               | 9     |
