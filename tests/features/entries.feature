Feature: Entries of the store that somebody else has written
  Databases write entries; so may anything else. What can't be used names no
  target, harms no other, and is told once for each change.

  Scenario: Whatever an entry holds, it names a usable target or none
    Given entries of any bytes and of any fields
    Then each one is refused as unreadable or names an address by IP number

  Scenario: An unusable entry harms no other
    The list is read three times; the entry changes once.
    Given a database "db-1" and a foreign entry beside it
    When the entries are listed 3 times
    And the foreign entry is written again
    Then "db-1" is the only target
    And 2 refusals were taken down

  Scenario: Whatever is written of customers, it is read whole or refused
    An operator's document may hold anything. One that is read has a name and a
    limit above 0 for each customer, and each key belongs to one of them; a refusal
    names no key.
    Given documents with customers of any fields
    Then each one is refused without naming a key, or its customers are whole

  Scenario: Whatever a caller begins with, it is let in by a digest or refused
    Given first lines of any text
    Then each one is refused as malformed or gives a database and a digest
