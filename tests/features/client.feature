Feature: Operators steer from the command line

  Scenario: A change is applied and followed until it is in force
    Given a desk with 6 running proxies
    When the operator runs "apply objects.toml -m start"
    Then the command ends with 0 and writes "group/songbook created"
    When the operator runs "rollout --wait 10"
    Then the command ends with 0 and writes "p5     west   in force"
    When the operator runs "apply objects.toml"
    Then the command ends with 0 and writes "nothing to change at revision"

  Scenario: A proxy does not answer while a change is rolled out
    The operator sees which proxy lacks an answer and gets an exit code for it;
    the others have the revision in force.
    Given a desk with 5 running proxies
    When the operator runs "apply objects.toml"
    And the operator runs "rollout --wait 4"
    Then the command ends with 7 and writes "p5     west   no answer"
    And the error says "5 of 6 proxies done"
    When the operator runs "explain songbook --traffic-class b --proxy p5"
    Then the command ends with 7 and writes "connection refused"

  Scenario Outline: Each failure has its exit code and names the remedy
    Given a desk with 0 running proxies
    And the operator has run "apply objects.toml"
    When the operator runs "<command>"
    Then the command ends with <code>
    And the error says "<message>"

    Examples:
      | command                       | code | message                        |
      | get moon                      | 2    | run "sedgeshunt --help"        |
      | apply                         | 2    | no file is given               |
      | apply none.toml               | 2    | give the path of a readable    |
      | apply broken.toml             | 3    | field "zone" is missing; add   |
      | apply wrong.toml              | 3    | group "opera" is not declared  |
      | label target ada tier         | 2    | write KEY=VALUE to set one     |
      | label target ada tier=x --expect 1 | 4 | run "sedgeshunt get --toml"  |
      | describe target moon          | 8    | run "sedgeshunt get target"    |
      | history --change 17           | 8    | did not take effect            |
      | explain opera --traffic-class x | 8  | run "sedgeshunt get group"     |

  Scenario: Objects are read, changed and looked up
    Given a desk with 6 running proxies
    And the operator has run "apply objects.toml -m start --author ann"
    When the operator runs "label target ada tier=fast -m quicker --author ben"
    Then the command ends with 0 and writes "labels.tier: unset -> "fast""
    When the operator runs "get target ada"
    Then the command ends with 0 and writes "tier=fast"
    When the operator runs "describe group songbook"
    Then the command ends with 0 and writes "targets: ada bob cyd"
    When the operator runs "describe target ada"
    Then the command ends with 0 and writes "by ben"
    When the operator runs "diff objects.toml"
    Then the command ends with 0 and writes "labels.tier: "fast" -> unset"
    When the operator runs "label target ada tier-"
    Then the command ends with 0 and writes "labels.tier: "fast" -> unset"
    When the operator runs "history --limit 2"
    Then the command ends with 0 and writes "ben"
    When the operator runs "explain songbook --traffic-class browse --age 500"
    Then the command ends with 0 and writes "accepted_age_ms: 500"
    When the operator runs "explain songbook --traffic-class b --proxy p4"
    Then the command ends with 0 and writes "proxy p4 in north"

  Scenario: An old file does not undo a later change
    An operator reads the objects, a rival deletes one, and the operator
    applies the old file. It is refused by the revision in the file, though
    only the log of changes still tells of the deletion.
    Given a desk with 0 running proxies
    And the operator has run "apply objects.toml"
    When the operator keeps "get target --toml" as kept.toml
    And the operator runs "delete target bob --author ben"
    And the operator runs "apply kept.toml"
    Then the command ends with 4
    And the error says "ben at"
    And the error says "target/bob deleted"

  Scenario: A target is drained and taken back
    Given a desk with 6 running proxies
    And the operator has run "apply objects.toml"
    When the operator runs "drain ada --wait 5"
    Then the command ends with 0 and writes "p5     west   in force"
    And the error says "labels.state: unset -> "leaving""
    And all proxies have target "ada" marked as leaving
    When the operator runs "drain ada --undo"
    Then the command ends with 0 and writes "labels.state: "leaving" -> unset"

  Scenario: Results are read by programs
    Given a desk with 6 running proxies
    And the operator has run "apply objects.toml"
    When the operator runs "rollout --wait 5 --output json"
    Then the result is JSON with 6 proxies in force

  Scenario: The operator interrupts the wait for a rollout
    The command ends at once with the shell's code for an interrupt; the change
    itself was committed before and stays.
    Given a desk with 5 running proxies
    And the operator has run "apply objects.toml"
    When the operator runs "rollout --wait 60" and interrupts after 2 seconds
    Then the command ends with 130
    And the error says "nothing was left half done"

  Scenario: The operator interrupts a change on its way
    Nobody knows yet whether it took effect, so the operator is told the id to
    look it up by. The change is one commit and took effect whole.
    Given a desk with 0 running proxies
    When the operator runs "apply objects.toml" and interrupts while it is sent
    Then the command ends with 130
    And the error names the change and all its objects are there

  Scenario: The platform is down
    Given a desk with 0 running proxies
    And the service behind the desk is down
    When the operator runs "apply objects.toml"
    Then the command ends with 5
    And the error says "nothing was changed"

  Scenario Outline: The examples are sound
    When the files of example "<example>" are checked
    Then the command ends with 0
    And the error says "no problems found"

    Examples:
      | example |
      | kigali  |
      | uruguay |

  Scenario: Files are checked without any service
    Given a desk with 0 running proxies
    When the operator runs "check wrong.toml broken.toml --settings none.toml"
    Then the command ends with 3 and writes "field "zone" is missing"
    And the command ends with 3 and writes "none.toml"

  Scenario: Each command explains itself with an example
    Given a desk with 0 running proxies
    Then the help of each command shows an example

  Scenario: A proxy is started with its settings
    Given a desk with 0 running proxies
    When the operator runs "proxy --settings settings.toml"
    Then the command ends with 0 and a proxy was started with "settings.toml"
