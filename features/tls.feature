Feature: links between processes take mutual TLS

  Scenario: only processes of the same authority connect
    Given an engine whose agent asks for certificates
    And entry-1 with a certificate of the same authority
    When 10 chats are sent to entry-1
    Then all are answered
    And answers are whole and their own
    Given entry-2 with a certificate of another authority
    And entry-3 without a certificate
    When 5 chats are sent to entry-2
    Then all are refused as no-backend
    When 5 chats are sent to entry-3
    Then all are refused as no-backend
    And refusals that say not run are true
