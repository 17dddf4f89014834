Feature: calls that may not be repeated run at most once

  Scenario: retries at once through two entries
    Given 2 lunch services and 2 entries
    When a top-up is sent to entry-1 and entry-2 at once with one key
    Then the key ran exactly 1 time
    And refusals that say not run are true

  Scenario: the entry is killed while the call runs
    Given 2 lunch services and 2 entries
    And service calls take 1500 ms
    When a top-up begins at entry-1
    And entry-1 is killed
    And the same top-up is sent to entry-2
    Then the key ran exactly 1 time
    And refusals that say not run are true

  Scenario: the agent is killed while the call runs
    Given 2 lunch services and 2 entries
    And service calls take 1500 ms
    When a top-up begins at entry-1
    And the agent of the running call is killed
    And the background ends
    And the same top-up is sent to entry-2
    Then all are refused as outcome-unknown
    And the key ran exactly 1 time

  Scenario: answers to ledger writes are lost
    Given 2 lunch services and 2 entries
    When the platform service loses the answers to 5 writes of "ledger/"
    And 20 top-ups are sent
    Then each key ran at most once
    And refusals that say not run are true
    And each answered request is billed exactly once

  Scenario: the platform service is down
    Given 2 lunch services and 2 entries
    When top-ups go on in the background
    And the platform service goes down
    And 20 more have ended
    And the platform service comes back
    And 20 more have ended
    And the background ends
    Then each key ran at most once
    And refusals that say not run are true
    And each answered request is billed exactly once

  Scenario: an entry is paused while it holds a claim
    Given 2 lunch services and 2 entries
    When top-ups go on in the background
    And entry-1 is paused
    And 2 s pass
    And entry-1 goes on
    And 20 more have ended
    And the background ends
    Then each key ran at most once
    And refusals that say not run are true
    And each answered request is billed exactly once

  Scenario: an agent is killed under load
    Given 2 lunch services and 2 entries
    When top-ups go on in the background
    And agent-service-1 is killed
    And 20 more have ended
    And the background ends
    Then each key ran at most once
    And refusals that say not run are true
