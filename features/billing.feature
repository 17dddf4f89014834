Feature: each request is billed exactly once

  Scenario: answers to usage writes are lost
    Given 2 engines with versions "proof@v1" and 2 entries
    When the platform service loses the answers to 6 writes of "usage/"
    And 40 chats are sent
    Then all are answered
    And each answered request is billed exactly once

  Scenario: an outage of the platform service
    Given 2 engines with versions "proof@v1" and 2 entries
    When the platform service goes down
    And 30 chats are sent
    Then all are answered
    When 2 s pass
    And the platform service comes back
    Then each answered request is billed exactly once

  Scenario: an entry is killed with bills not yet counted
    Given 2 engines with versions "proof@v1" and 2 entries
    When the platform service goes down
    And 30 chats are sent
    Then all are answered
    When entry-1 is killed
    And the platform service comes back
    Then each answered request is billed exactly once

  Scenario: agents are killed with copies of bills
    Given 2 engines with versions "proof@v1" and 2 entries
    When the platform service goes down
    And 30 chats are sent
    And agent-engine-1 is killed
    And the platform service comes back
    Then each answered request is billed exactly once

  Scenario: an entry is killed with bills not counted and started again
    Given 2 engines with versions "proof@v1" and 1 entries
    When the platform service goes down
    And 30 chats are sent
    Then all are answered
    When entry-1 is killed
    And the platform service comes back
    And entry-1 is started again
    Then each answered request is billed exactly once
