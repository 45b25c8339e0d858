package table

import "fmt"

// protocolError is an error answer of the protocol.
type protocolError struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Item    item     `json:"Item,omitempty"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
}

// reason tells why one part of a transaction was cancelled.
type reason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
	Item    item   `json:"Item,omitempty"`
}

const errorPrefix = "com.amazonaws.dynamodb.v20120810#"

func (e *protocolError) Error() string {
	return e.Type + ": " + e.Message
}

func validationError(format string, args ...any) *protocolError {
	return &protocolError{Type: "com.amazon.coral.validate#ValidationException", Message: fmt.Sprintf(format, args...)}
}

func conditionError(old item) *protocolError {
	return &protocolError{Type: errorPrefix + "ConditionalCheckFailedException", Message: "The conditional request failed", Item: old}
}
