Feature: Peer messages

  Scenario: A message with a missing field is refused with its place
    Given a heartbeat without its stamp
    When the receiving host decodes it
    Then the error names "heartbeat" and "stamp"
