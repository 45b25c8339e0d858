package model

import "regexp"

// NameRule describes the names that ValidName accepts, for error messages.
const NameRule = "1 to 63 lower-case letters, digits and hyphens, with a letter or digit at both ends"

var nameExpression = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether the text is a valid name for a node, a service, a route, a target, a region or a failure
// domain. Dots are excluded because they separate the parts of issued idempotency keys.
func ValidName(text string) bool {
	return nameExpression.MatchString(text)
}
