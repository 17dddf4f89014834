Feature: interactive work first, background work delayed but kept

  Scenario: questions overtake statements on a full engine
    Given an engine with 4 slots that serves questions and statements
    When 40 statements wait while 30 questions are sent
    Then all questions are answered
    And every statement is answered or was refused with a time to come back
    And questions took a third of the time of statements at most
    And refusals that say not run are true
    And each answered request is billed exactly once

  Scenario: an organisation's limit binds itself alone
    Given 1 engines with versions "proof@v1" and 1 entries
    When an operator orders "set organisation litoral rate 2 burst 2"
    And an operator orders "permit savinja use proof"
    And the configuration is in force everywhere
    And 10 chats of each organisation are sent
    Then "litoral" was refused as rate-limited with a time to come back
    And "savinja" was answered
    And refusals that say not run are true

  Scenario: what can not make its deadline is refused with a time to come back
    Given an engine with 4 slots that serves questions and statements
    When 40 statements wait while 30 questions with 30 ms are sent
    Then no question is answered, since one takes 40 ms at least
    And refusals name a time to come back
    And refusals that say not run are true
    And every statement is answered or was refused with a time to come back
