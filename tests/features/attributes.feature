Feature: Statements and their attributes determine how requests are routed

  Scenario: Statements are classified by their keywords
    Then the statements are of these kinds
      | kind     | statement                                         |
      | READ     | SELECT 1                                          |
      | READ     | /* from a page */ (SELECT 'for update')           |
      | READ     | WITH a AS (SELECT 1) SELECT * FROM a              |
      | READ     | SHOW TABLES                                       |
      | WRITE    | SELECT 1 FROM queue FOR UPDATE                    |
      | WRITE    | SELECT 1 INTO OUTFILE 'x'                         |
      | WRITE    | WITH a AS (SELECT 1) DELETE FROM queue            |
      | WRITE    | ROLLBACK /* some */ TO SAVEPOINT turn             |
      | WRITE    | SAVEPOINT turn                                    |
      | WRITE    | INSERT INTO queue VALUES ('a; b', 'it''s; c')     |
      | BEGIN    | START TRANSACTION READ ONLY                       |
      | BEGIN    | /*!50001 BEGIN */                                 |
      | COMMIT   | commit;                                           |
      | ROLLBACK | ROLLBACK WORK                                     |
      | SESSION  | SET NAMES utf8mb4                                 |
      | SESSION  | USE songbook                                      |
      | SESSION  | SELECT @@version AS v, DATABASE() LIMIT 1         |
      | SESSION  | SELECT @sedgeshunt_session_token                  |

  Scenario: Statements that leave state on a shared connection are refused
    A statement that would leave locks, variables, temporary tables or an open
    transaction on a connection is refused before it is sent. Otherwise they
    would affect the next caller on that connection.
    Then these statements are refused
      | statement                                   |
      | SELECT 1; DELETE FROM queue                 |
      | INSERT INTO queue VALUES ('it\'s'); COMMIT  |
      | SELECT GET_LOCK('queue', 1)                 |
      | LOCK TABLES queue WRITE                     |
      | CREATE TEMPORARY TABLE turns (id INT)       |
      | SELECT @turn := 1                           |
      | COMMIT AND CHAIN                            |
      | XA START 'turn'                             |
      | PREPARE turn FROM 'SELECT 1'                |
      | CALL `group_fence`(7)                       |
    And these statements are refused outside a transaction only
      | statement                                   |
      | INSERT INTO turns VALUES (LAST_INSERT_ID()) |

  Scenario: The most specific source of an attribute takes precedence
    Given a session with connect attribute "sedgeshunt_traffic_class" of "batch"
    And its connect attribute "sedgeshunt_deadline_ms" is "900"
    And its variable "sedgeshunt_deadline_ms" is "800"
    And its variable "sedgeshunt_accepted_age_ms" is "50"
    When it sends /*accepted_age_ms='70',idempotent='true'*/ SELECT 1
    And it adds the query attribute "idempotent" of "false"
    Then the request is of class "batch", 0.8 s, 0.07 s old and not idempotent

  Scenario: Attributes are read from leading and trailing comments only
    Client libraries write comments of their own, which are ignored, and some
    append attributes. A request id missed there would let a retry run twice.
    Then these comments carry the request id "a:1"
      | statement                                         |
      | /*request_id='a%3A1'*/ INSERT INTO queue VALUES 1 |
      | /* page 7 */ /*request_id='a%3A1'*/ INSERT 1      |
      | INSERT 1 /*trace_id='t',request_id='a%3A1'*/;     |
    And these comments carry no attribute
      | statement                                         |
      | /*controller='x',action='y'*/ SELECT 1            |
      | /*!50001 SELECT */ 1                              |
      | SELECT '/*request_id=' FROM queue                 |

  Scenario: Malformed attributes are refused, not ignored
    The caller gets an error that names the attribute and its format. If a
    malformed request id were ignored, a retry could run twice.
    Then these requests are refused naming
      | named           | statement                                 |
      | accepted_age_ms | /*accepted_age_ms='old'*/ SELECT 1        |
      | deadline_ms     | /*deadline_ms='0'*/ SELECT 1              |
      | idempotent      | /*idempotent='maybe'*/ SELECT 1           |
      | controller      | /*idempotent='true',controller='x'*/ S    |
      | request_id      | /*request_id=a1*/ INSERT 1                |
      | request_id      | /*request_id='a',request_id='b'*/ INSERT  |
      | request_id      | /*request_id='a b'*/ INSERT               |
    And the connect attribute "sedgeshunt_colour" is refused
    And the connect attribute "sedgeshunt_request_id" is refused
