Feature: only permitted, sanctioned versions run

  Scenario: an organisation's request runs only where it may
    Given 2 engines with versions "proof@v1,proof@v2" and 2 entries
    When 20 chats are sent
    Then all are answered
    When a chat of the other organisation is sent
    Then all are refused as not-permitted
    And organisations ran only on what they may use
    And refusals that say not run are true
    And answers are whole and their own

  Scenario: a withdrawn version gets no new work from any entry
    Given 2 engines with versions "proof@v1,proof@v2" and 2 entries
    When chats go on in the background
    And an operator orders "withdraw proof@v1 reason test"
    And the configuration is in force everywhere
    And 30 more have ended
    And the background ends
    Then all are answered
    And no run of "proof@v1" began after that
    And no run of "proof@v1" began later than 5 s after the order

  Scenario: an entry that was paused through a withdrawal sends none
    Given 2 engines with versions "proof@v1,proof@v2" and 2 entries
    When entry-2 is paused
    And an operator orders "withdraw proof@v1 reason test"
    And 1 s pass
    And entry-2 goes on
    And 20 chats are sent to entry-2
    Then all are answered by version "proof@v2"

  Scenario: an entry that starts in an outage learns of a withdrawal
    Given 2 engines with versions "proof@v1,proof@v2" and 1 entries
    When an operator orders "withdraw proof@v1 reason test"
    And the configuration is in force everywhere
    And the platform service goes down
    And entry-2 is started
    And every agent is connected again
    And entry-1 is killed
    And 10 chats are sent to entry-2
    Then all are answered by version "proof@v2"
    And no run of "proof@v1" began after that

  Scenario: an entry cut off from platform and peers sends no withdrawn work
    Given 2 engines with versions "proof@v1,proof@v2" and 1 entries
    And entry-2 reaches the platform service by a cable
    When 10 chats are sent to entry-2
    Then all are answered by version "proof@v1"
    When the cable drops everything
    And an operator orders "withdraw proof@v1 reason test"
    And entry-1 and all agents hold the newest revision
    And 20 chats are sent to entry-2
    Then no run of "proof@v1" began after that
    And refusals that say not run are true

  Scenario: a configuration does not revert when processes restart in an outage
    Given 2 engines with versions "proof@v1,proof@v2" and 2 entries
    When an operator orders "withdraw proof@v1 reason test"
    And the configuration is in force everywhere
    And the platform service goes down
    And entry-1 is killed
    And entry-1 is started again
    And entry-2 is killed
    And entry-2 is started again
    And 1 s pass
    And 20 chats are sent
    Then no run of "proof@v1" began after that
    When the platform service comes back
    Then every entry holds the newest revision
