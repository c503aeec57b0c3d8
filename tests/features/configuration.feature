Feature: Configuration changes reach every proxy and are never reverted

  Scenario Outline: Selectors match labels
    Then selector "<selector>" over labels "<labels>" gives <verdict>

    Examples:
      | selector                   | labels              | verdict |
      | nothing                    | nothing             | match   |
      | zone=mvd-a                 | zone=mvd-a          | match   |
      | zone=mvd-a                 | zone=mvd-b          | none    |
      | zone!=mvd-a                | nothing             | match   |
      | tier in (fast, slow),zone  | tier=slow zone=a    | match   |
      | tier in (fast,slow),!zone  | tier=slow zone=a    | none    |
      | tier notin (fast),zone==a  | zone=a              | match   |
      | tier=                      | tier=               | match   |
      | tier in ()                 | tier=               | error   |
      | tier =~ fast               | tier=fast           | error   |

  Scenario: Reading an operator file reports all problems at once
    Every problem is reported with its line or name and its remedy. A reader
    that stops at the first problem would cost operators one attempt for each.
    When an operator file is read
      """
      revision = 'new'

      [[group]]
      name = 'songbook'
      slot = 3

      [[target]]
      name = 'a/b'
      port = 'mysql'

      [[pool]]
      [[group]]
      name = 'g'
      [[group]]
      name = 'g'
      """
    Then the file's problems are
      | location  | problem                             |
      | objects:3 | field "slot" is unknown             |
      | objects:7 | the name may hold letters           |
      | objects:7 | field "port" is wrong: Expected `int` |
      | objects:7 | field "zone" is missing; add it     |
      | objects:14 | declared already at objects:12     |
      | objects   | "pool" is unknown; use one of       |
      | objects   | revision must be the whole number   |

  Scenario: Objects are unchanged after a round trip through a file and JSON
    When the objects are written to an operator file and to JSON and read
    Then the objects are unchanged

  Scenario Outline: Inconsistent objects are reported
    When the field <field> of object <object> is set to <content>
    Then the check reports "<problem>"

    Examples:
      | object         | field    | content            | problem                        |
      | target/ada     | group    | "opera"            | group "opera" is not declared  |
      | target/ada     | port     | 13307              | belongs to ada already         |
      | target/ada     | host     | "db.local"         | is not an IP address           |
      | target/ada     | labels   | {"zone": "x"}      | is computed from the field     |
      | target/ada     | labels   | {"state": "away"}  | is not supported               |
      | group/songbook | connection_limit | 13         | 6 seats need 14 connections    |
      | group/songbook | slots    | 0                  | slots is 0; set it to 1        |
      | proxy/p0       | groups   | "zone="            | matches no group               |
      | proxy/p0       | groups   | "=x"               | is not a requirement           |
      | route/browse   | targets  | "zone=moon"        | match no target                |
      | route/browse   | traffic_class | "queue"       | class queue has route queue for |

  Scenario: Two operators race to change the same target
    Both read the same revision, the first commits, and the second's
    comparison fails. The second operator gets a conflict with the first
    change and the remedy. Applying it anyway would silently undo the first.
    Given the objects are declared
    When "ann" labels target "ada" and "ben" labels "ada" at the same time
    Then one change is refused as a conflict that names the other

  Scenario: Two operators change different targets at the same time
    Both succeed. The second finds that the head moved but its own target did
    not change, and retries without the operator.
    Given the objects are declared
    When "ann" labels target "ada" and "ben" labels "bob" at the same time
    Then both changes take effect

  Scenario: Two valid changes are invalid together
    Two operators each add a target at the same address. Each change is valid
    by itself and writes different keys; the second is validated again after
    the first and refused, so no address is declared twice.
    Given the objects are declared
    When "ann" and "ben" add a target at the same address at the same time
    Then one change is refused as invalid and the address is declared once

  Scenario: The answer is lost after the change took effect
    The store applied the change, but the answer was lost. The record is found
    by the change's id, and the operator is told that it took effect, once.
    Given the objects are declared
    When the answer to the change of "ann" is lost
    Then the change took effect once and "ann" is told so

  Scenario: A change whose answer is lost arrives late
    The change takes effect once. Its record was not found, so it was sent
    again and took effect; the first copy arrived later and was refused, as
    the head had moved and the record existed.
    Given the objects are declared
    When the change of "ann" is delayed, sent again and arrives late
    Then the change took effect once and "ann" is told so

  Scenario: The service fails permanently after an answer is lost
    The operator gets the id by which the change can be looked up. It took
    effect, so reporting that nothing was changed would be wrong.
    Given the objects are declared
    When the answer to the change of "ann" is lost and the service goes down
    Then "ann" is told that the answer is lost and under which id to look

  Scenario: The log of changes is bounded
    Given the objects are declared
    When target "ada" is labelled 510 times
    Then 500 changes are kept, the newest first

  Scenario: A lagging member of the service shows an old listing
    No change is reverted. The changes after the watch are compacted, so the
    proxy reads a listing, which comes from a lagging member. The listing is
    refused and logged; a newer one is applied once the member is current.
    Given the objects are declared and 1 proxy runs
    When the service restarts compacted, on a member that lags
    Then the proxy keeps its revision and logs the refusal
    When the member has caught up
    Then the proxy gets the newest revision within 10 seconds
    And no proxy reverted a change

  Scenario: A watch brings two changes in the wrong order
    Applying the late one would revert the newer one, dropping it would lose a
    change permanently. The proxy reads a listing and has both.
    Given the objects are declared and 1 proxy runs
    When the watch of the proxy swaps two changes
    Then the proxy has both changes within 2 seconds
    And no proxy reverted a change

  Scenario: All proxies reconnect after an outage of the service
    No proxy reads the whole configuration: the watches resume where they
    ended, so that thousands of proxies do not overload the store with reads.
    Given the objects are declared and 6 proxies run
    When the service is down for 30 seconds and a change follows
    Then all proxies have the change within 8 seconds
    And no proxy read a listing since the outage

  Scenario: A proxy starts while others run
    It copies the configuration from a peer and reads no listing.
    Given the objects are declared and 2 proxies run
    When proxy "p5" starts
    Then proxy "p5" has the newest revision within 1 seconds
    And proxy "p5" has a change within 1 seconds and read no listing

  Scenario: A proxy starts while the service is down
    It serves with the newest revision of a peer and does not wait.
    Given the objects are declared and 2 proxies run
    When the service is down and proxy "p5" starts
    Then proxy "p5" has the newest revision within 2 seconds

  Scenario: An availability zone is cut off from the service
    Its proxies get a change from peers in the other zones within seconds,
    though their own watch hangs without an error.
    Given the objects are declared and 6 proxies run
    When zone "east" is cut off from the service and two changes follow
    Then all proxies have the change within 4 seconds
    When the cut heals and a change follows
    Then all proxies have the change within 4 seconds
    And no proxy reverted a change

  Scenario: An invalid value removes no object and blocks no other change
    Given the objects are declared and 1 proxy runs
    When target "ada" is overwritten by "{" and "bob" is labelled
    Then the proxy has "ada" as it was, the label on "bob", and a log line
    When the watch of the proxy swaps two changes
    Then the proxy has both changes within 2 seconds
