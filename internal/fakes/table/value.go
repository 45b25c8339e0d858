package table

import (
	"encoding/json"
	"fmt"
	"math/big"
	"strings"
)

// value is an attribute value; exactly one field is set.
type value struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

// item is a row of a table.
type item map[string]value

// itemKey identifies a row.
type itemKey struct {
	partition, sort string
}

// UnmarshalJSON rejects types that the stand-in does not support.
func (v *value) UnmarshalJSON(data []byte) error {
	type plain value
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode((*plain)(v)); err != nil {
		return fmt.Errorf("unsupported attribute value: %w", err)
	}
	count := 0
	for _, set := range []bool{v.S != nil, v.N != nil, v.B != nil} {
		if set {
			count++
		}
	}
	if count != 1 {
		return fmt.Errorf("an attribute value must have exactly one type")
	}
	if v.N != nil {
		if _, ok := new(big.Rat).SetString(*v.N); !ok {
			return fmt.Errorf("the parameter %q is not a number", *v.N)
		}
	}
	return nil
}

// compare compares two values of the same type; it returns false if the types differ.
func (v value) compare(other value) (int, bool) {
	switch {
	case v.S != nil && other.S != nil:
		return strings.Compare(*v.S, *other.S), true
	case v.B != nil && other.B != nil:
		return strings.Compare(string(*v.B), string(*other.B)), true
	case v.N != nil && other.N != nil:
		a, _ := new(big.Rat).SetString(*v.N)
		b, _ := new(big.Rat).SetString(*other.N)
		return a.Cmp(b), true
	default:
		return 0, false
	}
}

func (v value) size() int {
	switch {
	case v.S != nil:
		return len(*v.S)
	case v.N != nil:
		return len(*v.N)/2 + 2
	default:
		return len(*v.B)
	}
}

func (i item) size() int {
	n := 0
	for name, v := range i {
		n += len(name) + v.size()
	}
	return n
}

func (i item) key() (itemKey, error) {
	partition, sort := i["pk"], i["sk"]
	if partition.S == nil || sort.S == nil || *partition.S == "" || *sort.S == "" {
		return itemKey{}, validationError("one of the required keys was not given a value")
	}
	return itemKey{partition: *partition.S, sort: *sort.S}, nil
}
