Feature: Processes on sockets keep what the proxies promise

  Scenario: Ordinary drivers read their own writes on another proxy
    Each driver writes through one proxy and reads at once through another,
    whose replicas lag. The caller brings its session token in the form that
    its driver offers, and finds its row.
    Given a deployment of 3 proxies as processes
    When each driver writes at "entry-1" and brings its token to "entry-2"
      | driver                 | form      |
      | PyMySQL                | set       |
      | asyncmy                | comment   |
      | mysql-connector-python | attribute |
    Then each driver has read its own row

  Scenario: A proxy that is told to stop cuts no request
    A balancer takes an instance away while callers work. The proxy refuses
    new work as not run, finishes what is under way, lets an open
    transaction commit, and ends by itself.
    Given a deployment of 3 proxies as processes
    And a transaction that has written at "entry-1"
    When "entry-1" is told to stop while callers work at all proxies
    Then the transaction commits and its row is read at "entry-2"
    And "entry-1" has ended with exit code 0
    And no caller was left without a proof of what became of a request

  Scenario: Settings with several faults are refused as a whole
    An operator starts a proxy with a file that is wrong in three places and
    learns all three at once, in a message for people and an exit code for
    scripts.
    When a proxy process is started with these settings
      """
      name = 'entry 1'
      zone = 'kg-gasabo'
      callers = { host = '127.0.0.1', port = 99999 }
      peers = { host = 'localhost', port = 7100 }
      session_keys = [{ id = 'k1', secret = 'sixteen-or-more-letters' }]
      [platform]
      endpoints = [{ host = '127.0.0.1', port = 2379 }]
      instance_list = { host = '127.0.0.1', port = 8080 }
      """
    Then it ends with exit code 3 and names "name", "callers.port" and "peers.host"
