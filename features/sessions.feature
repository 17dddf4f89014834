Feature: a session stays on its version

  Scenario: a roll-out under way, over all entries and their restart
    Given 2 engines with versions "proof@v1,proof@v2" and 2 entries
    When 30 sessions each send 2 chats over all entries
    And an operator orders "rollout proof to v2 from v1 steps 50%"
    Then roll-out "proof" has taken 1 steps within 30 s
    When the configuration is in force everywhere
    And 6 s pass
    And 60 sessions each send 2 chats over all entries
    And entry-1 is killed
    And entry-1 is started again
    And entry-2 is killed
    And entry-2 is started again
    And every agent is connected again
    And 60 sessions each send 2 chats over all entries
    Then all are answered
    And no session moved
    And sessions are spread over 2 versions
