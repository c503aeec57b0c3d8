Feature: What callers get under load and faults
  Each decision is played with the load that it is for; what counts is what
  callers are told, and when.

  Scenario: Transactions that rest leave connections to single statements
    More callers than there are connections have a transaction open and rest in
    it. Single statements had the target's places and waited for a connection;
    the transactions had these and waited for a place, for as long as callers
    came. Some connections are kept for statements that are over at once.
    Given proxies "east-1"
    When 40 callers of "settle" rest 0.1 s in each of their transactions' steps
    And 6 others write every 0.1 s for 4 s
    Then at least 98 % of the others' writes were done within 150 ms

  Scenario: A rush of transactions leaves nothing behind
    Four times as many callers as the primary has connections begin transactions
    at once. A second after the rush every statement is done as before it.
    Given proxies "east-1"
    When 80 callers of "settle" rest 0.05 s in each of their transactions' steps
    And 2 s go by
    And the rush is over
    And 1 s goes by
    And 6 others write every 0.1 s for 2 s
    Then at least 100 % of the others' writes were done within 100 ms
