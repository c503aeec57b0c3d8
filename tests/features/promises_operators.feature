Feature: Configuration changes apply on all proxies and are not reverted
  Each scenario runs with all safeguards and once with one disabled.

  Scenario Outline: Database <number> is labelled as leaving, without <safeguard>
    Callers continue to work. Within 3 s no statement starts on the database any
    more, even if it was the primary, which must be replaced first.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When operator "ann" labels database <number> as leaving
    And callers work at all proxies for 5 s
    Then operator "ann" gets the outcome "done"
    And the promise "a leaving target gets no new work" is <verdict>

    Examples:
      | number | safeguard     | verdict |
      | 2      | none          | kept    |
      | 2      | leaving label | broken  |
      | 1      | none          | kept    |
      | 1      | leaving label | broken  |

  Scenario Outline: A database leaves by <source>, without <safeguard>
    The platform removes an instance without a label from an operator. The
    instance list or an announcement of a peer is sufficient, also while the
    key-value service is down.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When <source>
    And callers work at all proxies for 5 s
    Then the promise "a leaving target gets no new work" is <verdict>

    Examples:
      | source                                  | safeguard        | verdict |
      | the list shows database 2 as leaving    | none             | kept    |
      | the list shows database 2 as leaving    | leaving evidence | broken  |
      | "p1" announces that database 2 is leaving | none             | kept    |
      | "p1" announces that database 2 is leaving | leaving evidence | broken  |

  Scenario Outline: The list names a leaving database while the service is down, without <safeguard>
    No label can be changed now, but the instance list is still available.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When the key-value service goes down
    And the list shows database 2 as leaving
    And callers work at all proxies for 5 s
    Then the promise "a leaving target gets no new work" is <verdict>

    Examples:
      | safeguard        | verdict |
      | none             | kept    |
      | leaving evidence | broken  |

  Scenario Outline: A leaving database is known in a zone cut off from the platform, without <safeguard>
    The watches of two proxies receive no changes. Their peers in other zones
    have the newer revision and are asked for it every half second.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When zone b is cut off from the platform
    And operator "ann" labels database 2 as leaving
    And callers work at all proxies for 5 s
    Then the promise "a leaving target gets no new work" is <verdict>

    Examples:
      | safeguard | verdict |
      | none      | kept    |
      | peers     | broken  |

  Scenario Outline: A change reaches proxies whose watch hangs, without <safeguard>
    Zone b is cut off from the platform as the change is made.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When zone b is cut off from the platform
    And operator "ann" colours database 2
    Then all proxies apply it within 5 s
    And the promise "configuration is in force and never reverts" is <verdict>

    Examples:
      | safeguard | verdict |
      | none      | kept    |
      | peers     | broken  |

  Scenario Outline: A new proxy starts while the service is down, without <safeguard>
    The new proxy has no stored configuration and cannot read the service, so it
    gets the newest revision from a peer.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When the key-value service goes down
    And proxies "p7" start
    Then all proxies apply it within 5 s
    And the promise "configuration is in force and never reverts" is <verdict>

    Examples:
      | safeguard | verdict |
      | none      | kept    |
      | peers     | broken  |

  Scenario Outline: The service compacts the changes that a proxy missed, without <safeguard>
    Zone a was cut off from all others. Its watch cannot resume from the
    revision where it stopped and must restart from a listing.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When zone a is cut off from the other zones
    And zone a is cut off from the platform
    And the key-value service goes down
    And time advances by 0.5 s
    And the key-value service comes back
    And operator "ann" colours database 2
    And the key-value service compacts its old changes
    And the network is restored
    Then all proxies apply it within 5 s
    And the promise "configuration is in force and never reverts" is <verdict>

    Examples:
      | safeguard   | verdict |
      | none        | kept    |
      | new listing | broken  |

  Scenario Outline: A member of the service that fell behind reverts nothing, without <safeguard>
    After an outage the watches restart from a listing, and the member that
    answers returns the state before the change.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    And no revision may decrease
    When a member of the key-value service falls behind
    And operator "ann" colours database 2
    And time advances by 1 s
    And the key-value service compacts its old changes
    And proxies read from the member that fell behind
    And time advances by 3 s
    Then the promise "configuration is in force and never reverts" is <verdict>

    Examples:
      | safeguard    | verdict |
      | none         | kept    |
      | no downgrade | broken  |

  Scenario Outline: The answer to an operator's change is lost, without <safeguard>
    The change took effect. The retry is refused, as the first run has changed
    the head. Only reading the change back gives the true outcome.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When the key-value service loses the next answer
    And operator "ann" colours database 2
    And time advances by 1 s
    Then operator "ann" gets the outcome "<outcome>"
    And the promise "configuration is in force and never reverts" is <verdict>

    Examples:
      | safeguard    | outcome  | verdict |
      | none         | done     | kept    |
      | reading back | conflict | broken  |

  Scenario Outline: Two operators change the same label at once, without <safeguard>
    Comparing the revision of the head in the commit prevents that both get
    "done" while one change is lost.
    Given proxies in three zones, with the safeguard "<safeguard>" disabled
    When operators "ann" and "ben" colour database 2 at once
    And time advances by 1 s
    Then the promise "configuration is in force and never reverts" is <verdict>

    Examples:
      | safeguard        | verdict |
      | none             | kept    |
      | compare-and-swap | broken  |
