Feature: Stand-ins for databases and platform
  The other features trust these stand-ins, so their failures are shown here
  first: what a client sees, and what truly ran by the history.

  Background:
    Given a stand-in group of a, b and c that a leads
    And stand-in time goes on by 1 s

  Scenario: A replica that lags shows a write later
    A client writes on the primary and reads on replicas. One follows at
    once, the other applies records two seconds after their commit.
    When stand-in b lags 2 s
    And a stand-in client writes song 1 on a
    And stand-in time goes on by 1 s
    Then stand-in c has song 1
    But stand-in b lacks song 1
    When stand-in time goes on by 1.1 s
    Then stand-in b has song 1

  Scenario: A primary that was fenced off refuses writes and drops its suffix
    A transaction is open on the primary when the group is fenced for a new
    term. Its COMMIT is refused and nothing of it stays. A record that only
    the old primary had goes when it follows the new one.
    When stand-in a is cut from zone-b and zone-c
    And a stand-in client writes song 1 on a
    And a stand-in client opens a transaction with song 2 on a
    And all stand-ins are fenced for term 2 and b is promoted
    Then the stand-in COMMIT is refused with 1290
    When the stand-in cut is healed and a and c follow b in term 2
    And stand-in time goes on by 1 s
    Then stand-in a lacks song 1
    And the stand-in history on a is "ran, committed, began, ran, fenced, rolled-back, refused, followed, dropped"

  Scenario: A fenced replica takes no late record and a term has one primary
    The old primary was not reached by the fence and goes on writing. Its
    records must not reach targets of the new term, whose log begins with an
    opening record. A second promotion in that term is refused.
    When stand-ins b and c are fenced for term 2
    And a stand-in client writes song 1 on a
    And stand-in time goes on by 1 s
    Then stand-in c lacks song 1
    When stand-in b is promoted in term 2
    Then the log of stand-in b ends at 2:2
    And stand-in c refuses to be promoted in term 2

  Scenario: A killed database leaves the fate of a statement open
    The connection breaks while a write is in service, so the client can't
    know. Over several tries both fates occur, and the history tells which.
    When a write is in service at each of 12 killed stand-ins
    Then some stand-in writes have run and some have not, as the history says

  Scenario: The answer to a change of the key-value service gets lost
    An operator's change takes effect and its answer is lost. Reading back
    finds it, a repeat of the same comparison fails, and a watch tells it.
    When the stand-in service loses the answer to a change
    Then the stand-in change is found by reading and by a watch
    And the same stand-in change is refused the second time

  Scenario: An ordinary driver sees points and refusals over TCP
    The same engine answers a MySQL driver: a write brings its point in the
    OK packet, a write on a replica is refused as read-only.
    Then a MySQL driver gets point 1:2 from a and error 1290 from b
