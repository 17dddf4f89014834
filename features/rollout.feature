Feature: roll-outs in steps, stopped by evidence

  Scenario: a bad version is withdrawn after a bounded number of requests
    Given 2 engines with versions "proof@v1=0.9" and 2 entries
    And version "proof@v2" has quality 0.2 when loaded
    When short chats go on in the background
    And an operator orders "rollout proof to v2 from v1 steps 10%, 50%, 100%"
    Then version "proof@v2" is withdrawn within 60 s
    When the configuration is in force everywhere
    And 30 more have ended
    And the background ends
    Then no run of "proof@v2" began after that
    And "proof@v2" had at most 120 runs
    And all are answered

  Scenario: a good version goes on through the loss of the driver
    Given 2 engines with versions "proof@v1=0.9" and 2 entries
    And version "proof@v2" has quality 0.9 when loaded
    When short chats go on in the background
    And an operator orders "rollout proof to v2 from v1 steps 10%, 20%"
    Then roll-out "proof" has taken 1 steps within 30 s
    When the entry that drives roll-outs is killed
    Then roll-out "proof" has taken 2 steps within 60 s
    When the background ends
    Then answers are whole and their own

  Scenario: a paused roll-out takes no step
    Given 1 engines with versions "proof@v1=0.9" and 1 entries
    And version "proof@v2" has quality 0.9 when loaded
    When an operator orders "rollout proof to v2 from v1 steps 10%, 20%"
    Then roll-out "proof" has taken 1 steps within 30 s
    When an operator orders "pause proof"
    And 3 s pass
    Then roll-out "proof" has taken 1 steps within 1 s
    When an operator orders "resume proof"
    Then roll-out "proof" is running

  Scenario: a driver that was paused beyond its lease undoes nothing
    Given 2 engines with versions "proof@v1=0.9" and 1 entries
    And version "proof@v2" has quality 0.9 when loaded
    When an operator orders "rollout proof to v2 from v1 steps 10%, 20%"
    Then roll-out "proof" has taken 1 steps within 30 s
    When entry-2 is started
    And every agent is connected again
    And short chats go on at entry-2
    And entry-1 is paused
    Then roll-out "proof" has taken 2 steps within 60 s
    When entry-1 goes on
    And 3 s pass
    Then roll-out "proof" has taken 2 steps within 1 s
    And every entry holds the newest revision
    And no fencing number went back at an engine
    When the background ends
    Then answers are whole and their own
