Feature: operators' orders

  Scenario: of two orders bound to one revision, one wins
    Given 1 engines with versions "proof@v1" and 2 entries
    When 5 pairs of orders on one revision come in
    Then of each pair exactly one was applied
    And the losers are told by whom and what changed
    And the audit lists each applied order once

  Scenario: answers to writes of the head are lost
    Given 1 engines with versions "proof@v1" and 2 entries
    When the platform service loses the answers to 2 writes of "config/head"
    And order "a" is "set organisation litoral rate 77" through entry-1
    And order "a" is "set organisation litoral rate 77" through entry-2
    Then order "a" was applied once
    And the rate of litoral is 77 everywhere

  Scenario: the entry is killed with an order under way
    Given 1 engines with versions "proof@v1" and 2 entries
    When the platform service answers writes after 400 ms
    And order "b" is "set organisation litoral rate 78" while entry-1 is killed
    And order "b" is "set organisation litoral rate 78" through entry-2
    Then order "b" was applied once
    And the rate of litoral is 78 everywhere

  Scenario: bad orders are refused with column and suggestion
    Given 1 engines with versions "proof@v1" and 1 entries
    Then these orders are refused
      | text                                | status | type           | column | suggestion |
      | shwo backends                       | 400    | bad-order      | 1      | show       |
      | show bakends                        | 400    | bad-order      | 6      | backends   |
      | set organisation litoral rat 5      | 400    | bad-order      | 26     | rate       |
      | set organisation litorale rate 5    | 400    | bad-order      | 18     | litoral    |
      | set organisation litoral rate -5    | 400    | bad-order      | 31     |            |
      | withdraw prof@v1                    | 400    | bad-order      | 10     | proof@v1   |
      | delete model proof                  | 422    | invalid-object |        |            |

  Scenario: a role does not reach further than it should
    Given 1 engines with versions "proof@v1" and 1 entries
    And an operator "ana" with role "operate" and an operator "ben" with role "read"
    Then "ben" may "show backends" but not "drain engine-1"
    And "ana" may "drain engine-1" but not "set organisation litoral rate 5"
    And a wrong operator key is refused

  Scenario: a dry run changes nothing
    Given 1 engines with versions "proof@v1" and 1 entries
    When "set organisation litoral rate 99" is run dry
    Then the rate of litoral is 10000 everywhere

  Scenario: a session key is shown by no query, file or log
    Given 1 engines with versions "proof@v1" and 1 entries
    When the session key is set to "00112233445566778899aabbccddeeff"
    And a chat in a session is sent
    Then "00112233445566778899aabbccddeeff" is in no answer, log or time line
