Feature: At most once and complete

  Every refusal says truthfully whether the request may have run.

  Scenario: An order is repeated after its answer was lost
    Given a target that works
    When the caller orders with the idempotency key "order-1"
    And the caller repeats the order
    Then the caller gets the same answer, marked as a replay
    And the target has executed 1 request

  Scenario: The target breaks the connection after the work
    Given a target that resets the connection after the work
    When the caller orders with the idempotency key "order-2"
    Then the order is refused as "target-reset" with outcome "unknown"
    And the target has executed 1 request
    When the target works again
    And the caller repeats the order
    Then the order is refused as "duplicate-unknown" with outcome "unknown"
    And the target has executed 1 request

  Scenario: No target accepts the connection
    Given a target that refuses connections
    When the caller orders with the idempotency key "order-3"
    Then the order is refused as "connect-failed" with outcome "not-run"
    When the target works again
    And the caller repeats the order
    Then the caller gets a first answer
    And the target has executed 1 request

  Scenario: The caller leaves while its order runs
    Given a target that works slowly
    When the caller orders with the idempotency key "order-4" and leaves
    And the caller repeats the order once it has finished
    Then the caller gets the same answer, marked as a replay
    And the target has executed 1 request

  Scenario: A long answer breaks off
    Given a target that sends a short body
    When the caller downloads
    Then the transfer breaks
    And the caller's key was not sent to the target

  Scenario: A key is revoked while its requests are live
    Given a target that works slowly
    When an order runs and another order waits
    And the key is revoked
    Then the running order is answered and its connection closes
    And the waiting order is refused as "key-unknown" with outcome "not-run"
    And the target has executed 1 request
