Feature: the platform service is restored from an older copy

  Scenario: a call that may not be repeated, whose claim is lost
    Given 2 lunch services and 2 entries
    And service calls take 1500 ms
    When a top-up begins at entry-1
    And the platform service goes back by 1000 ms
    And the same top-up is sent to entry-2
    And the background ends
    Then the key ran exactly 1 time
    And refusals that say not run are true

  Scenario: claims, outcomes and bills under load
    Given 2 lunch services and 2 entries
    When top-ups go on in the background
    And 20 more have ended
    And the platform service goes back by 1000 ms
    And 20 more have ended
    And the platform service goes back by 2000 ms
    And 20 more have ended
    And the background ends
    Then each key ran at most once
    And refusals that say not run are true
    And each answered request is billed exactly once

  Scenario: an order that is in force
    Given 1 engines with versions "proof@v1" and 2 entries
    When order "a" is "set organisation litoral rate 77" through entry-1
    And the platform service goes back by 2000 ms
    And order "b" is "set organisation savinja rate 78" through entry-2
    Then order "a" was applied once
    And order "b" was applied once
    And the rate of litoral is 77 everywhere
    And the platform service holds the newest revision
