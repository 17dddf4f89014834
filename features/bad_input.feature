Feature: bad input gets a typed refusal and harms nobody else

  Scenario: every failure has a problem document
    Given the registry of failures
    Then each one has a status of 400 or above

  Scenario: bad requests among good ones
    Given 1 engines with versions "proof@v1" and 1 entries
    When chats go on in the background
    Then these requests are refused
      | request           | status | type              |
      | malformed JSON    | 400    | malformed-request |
      | no messages       | 400    | malformed-request |
      | unknown model     | 404    | unknown-model     |
      | no key            | 401    | missing-key       |
      | wrong key         | 401    | unknown-key       |
      | unknown path      | 404    | unknown-path      |
      | wrong method      | 405    | method-not-allowed |
      | body too large    | 413    | body-too-large    |
      | headers too large | 431    | headers-too-large |
      | no HTTP at all    | 400    | malformed-request |
    And a second request before the first answer is refused as pipelining
    When the background ends
    Then all are answered
    And answers are whole and their own
    And each answered request is billed exactly once

  Scenario: bad calls of a plain service
    Given 1 lunch services and 1 entries
    Then a top-up without a key is refused as missing-idempotency-key
    And a top-up with key "not-a-uuid" is refused as bad-idempotency-key
    When a top-up is sent to entry-1 at once with one key
    Then another body with the same key is refused as key-reused
    And the key ran exactly 1 time
