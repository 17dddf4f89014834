Feature: a request that crashes backend servers is stopped

  Scenario: the same request over entries and retries
    Given 4 engines with versions "proof@v1" and 2 entries
    When all engines crash on bodies with "poison-band"
    And the same chat with "poison-band" is sent 6 times
    Then the last is refused as suspected
    And refusals name a time to come back
    And the backend servers crashed 2 times at most
    When 20 chats are sent
    Then all are answered
