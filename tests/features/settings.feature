Feature: Settings are checked as a whole before a proxy starts

  Scenario: A good file is read, with defaults for the rest
    Given a settings file
      """
      name = 'kg-1'
      zone = 'kg-gasabo'
      callers = { host = '127.0.0.1', port = 3306 }
      peers = { host = '127.0.0.1', port = 7100 }
      session_keys = [{ id = 'k1', secret = 'sixteen-or-more-letters' }]
      [platform]
      endpoints = [{ host = '::1', port = 2379 }]
      instance_list = { host = '127.0.0.1', port = 8080 }
      """
    When the settings file is read
    Then it names proxy "kg-1" in "kg-gasabo" with 10 seconds of grace

  Scenario: Every problem is named at once, with its remedy
    An operator who mends one line a start would need a dozen starts; the
    proxy names them all and ends with exit code 3.
    Given a settings file
      """
      name = 'a b'
      zone = 'kg-gasabo'
      colour = 'red'
      log_level = 'loud'
      callers = { host = 'localhost', port = 3306, users = 7 }
      peers = { host = '127.0.0.1', port = 99999, seeds = [{ host = '1.2.3' }] }
      session_keys = [{ id = 'k1', secret = 'short' }]
      platform = { endpoints = [] }
      """
    When the settings file is read
    Then it is refused with exit code 3 and these problems
      | setting                | remedy                       |
      | colour                 | remove it or use one of      |
      | name                   | 1 to 63 letters              |
      | log_level              | one of debug, info           |
      | callers.host           | an IP number                 |
      | callers.users          | a table of users             |
      | peers.port             | a port number from 1         |
      | peers.seeds[0].host    | an IP number                 |
      | peers.seeds[0].port    | a port number from 1         |
      | session_keys[0].secret | 16 or more random characters |
      | platform.endpoints     | one table or more            |
      | platform.instance_list | a table with host, port      |

  Scenario: Settings that do not fit together are refused
    Given a settings file
      """
      name = 'kg-1'
      zone = 'kg-gasabo'
      callers = { host = '::1', port = 1, tls_certificate = '/none.pem' }
      peers = { host = '127.0.0.1', port = 7100 }
      session_keys = [
        { id = 'k1', secret = 'sixteen-or-more-letters' },
        { id = 'k1', secret = 'another-sixteen-letters' },
      ]
      [platform]
      endpoints = [{ host = '127.0.0.1', port = 2379 }]
      instance_list = { host = '127.0.0.1', port = 8080 }
      """
    When the settings file is read
    Then it is refused with exit code 3 and these problems
      | setting                 | remedy                |
      | callers.tls_certificate | both TLS files        |
      | session_keys            | give each key its own |

  Scenario: Text that is no TOML is refused with its line
    Given a settings file
      """
      name = kg-1
      """
    When the settings file is read
    Then it is refused with exit code 3 and these problems
      | setting  | remedy        |
      | not TOML | mend the line |
