package table

import "fmt"

// protocolError is an error response of the protocol.
type protocolError struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Item    item                 `json:"Item,omitempty"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

// cancellationReason is the reason why one write of a transaction was cancelled.
type cancellationReason struct {
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
