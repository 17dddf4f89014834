Feature: requests pass from caller to engine through entry and agent

  Scenario: a whole answer
    Given an engine, an agent and an entry
    When a caller asks for 20 tokens
    Then the caller has the engine's whole answer

  Scenario: a streamed answer
    Given an engine, an agent and an entry
    When a caller begins to stream 40 tokens
    Then the caller has each piece once and in order, to the end

  Scenario: a caller that leaves
    Given an engine, an agent and an entry
    When a caller begins to stream 5000 tokens
    And the caller leaves
    Then the engine cancels the run

  Scenario: a connection between entry and agent falls silent
    Given an engine, an agent and an entry with a cable between them
    When a caller begins to stream 400 tokens
    And the connections through the cable fall silent
    Then the caller has each piece once and in order, to the end
    And the agent was never reported lost

  Scenario: an agent dies during a stream
    Given an engine, an agent and an entry
    When a caller begins to stream 5000 tokens
    And the agent is killed
    Then the stream ends with a failure that does not say "not run"

  Scenario Outline: a planned stop during a stream
    Given an engine, an agent and an entry
    When a caller begins to stream 300 tokens
    And the <role> is told to stop
    Then the caller has each piece once and in order, to the end
    And the <role> ends with status 0

    Examples:
      | role  |
      | agent |
      | entry |

  Scenario: a recorded session
    Given an engine, an agent and an entry that record
    When a caller asks for 20 tokens
    And a caller begins to stream 40 tokens
    Then the caller has each piece once and in order, to the end
    And the records give the same effects when replayed
