Feature: Entries of the store that are written by others
  Databases write entries, and so may any other client. An invalid entry defines
  no target, affects no other entry, and is reported once for each change.

  Scenario: An entry with any content defines a usable target or none
    Given entries of any bytes and of any fields
    Then each one is refused as unreadable or names an address by IP number

  Scenario: An invalid entry affects no other
    The list is read three times; the entry changes once.
    Given a database "db-1" and a foreign entry beside it
    When the entries are listed 3 times
    And the foreign entry is written again
    Then "db-1" is the only target
    And 2 refusals were recorded

  Scenario: An error while one entry is read costs that entry only
    Guards against an unforeseen error that ends the process, and against one that
    is neither logged nor counted.
    Given a database "db-1" and an entry whose reader fails
    When the entries are listed 3 times
    And the foreign entry is written again
    Then "db-1" is the only target
    And 2 errors with a trace were recorded and counted

  Scenario: An error while the configuration is read leaves the one in force
    Guards against an unforeseen error in reading a document of the operator that
    ends the process.
    Given a database "db-1" and an entry whose reader fails
    When the entries are listed 1 times
    And a configuration is written whose reader fails
    Then version 1 of the configuration is in force
    And 2 errors with a trace were recorded and counted

  Scenario: A nested entry is refused like any other that is invalid
    Guards against a decoder that fails with an error that its caller does not
    expect, which ended every proxy.
    Given entries of any depth and length
    Then each one is refused as unreadable or names an address by IP number

  Scenario: An entry of a proxy that is nested is invalid
    Guards against the same failure for the entries that proxies write.
    Given entries of any depth and length
    Then none of them is read as an entry of a proxy

  Scenario: The id of an entry is one word on the wire
    Guards against a key of another client that ends the line in which the id is
    sent to a target, and begins a statement that no caller sent.
    Given entries with an id of any text
    Then each one is refused or its id is one word of a line

  Scenario Outline: An entry of a proxy has a usable address and capacity
    Guards against a link to an address that raises another error than a refusal,
    which ends the process.
    Given an entry of a proxy with <content>
    Then it is no entry of a proxy

    Examples:
      | content                |
      | {"port": 0}            |
      | {"port": 70000}        |
      | {"port": -1}           |
      | {"capacity": 0}        |
      | {"capacity": -1}       |
      | {"name": ""}           |

  Scenario: A document with any customers is read completely or refused
    A document of the operator may have any content. If it is accepted, each
    customer has a name and a limit above 0, and each key belongs to one customer.
    A refusal must not contain a key.
    Given documents with customers of any fields
    Then each one is refused without naming a key, or its customers are whole

  Scenario: A caller with any first line is admitted by a digest or refused
    Given first lines of any text
    Then each one is refused as malformed or gives a database and a digest
