package syntax

// Text is what holds the bytes of a name or a value.
type Text interface{ ~string | ~[]byte }

// The range of statuses that a response may have.
const (
	MinStatus = 100
	MaxStatus = 599
)

// nameBytes marks the bytes of which field names consist.
var nameBytes = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		is[c] = true
	}
	return is
}()

// IsName reports whether the text is the name of a field.
func IsName[T Text](text T) bool {
	for i := range len(text) {
		if !nameBytes[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// IsValue reports whether the text may stand in the value of a field or in a reason.
func IsValue[T Text](text T) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
