Feature: planned stops cut nothing, and who leaves gets no new work

  Scenario: an agent leaves while the host list lags
    Given 2 engines with versions "proof@v1" and 2 entries
    When the host list lags by 30 s
    And chats go on in the background
    And agent-engine-1 is told to stop
    And 60 more have ended
    And the background ends
    Then all are answered
    And answers are whole and their own
    And engine-1 began no run later than 3 s after that
    And agent-engine-1 ends with status 0
    And each answered request is billed exactly once

  Scenario: an entry stops with requests in progress
    Given 2 engines with versions "proof@v1" and 2 entries
    When long chats go on in the background
    And the background ends while entry-1 stops
    Then none of them is cut
    And answers are whole and their own
    And entry-1 ends with status 0
    And each answered request is billed exactly once

  Scenario: a backend server is drained by order
    Given 2 engines with versions "proof@v1" and 2 entries
    When chats go on in the background
    And an operator orders "drain engine-1 reason maintenance"
    And the order counts as the stop
    And 60 more have ended
    And the background ends
    Then all are answered
    And engine-1 began no run later than 3 s after that
