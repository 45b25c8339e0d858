package store

import (
	"fmt"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/ticket"
)

// row is one item of the table.
type row map[string]types.AttributeValue

// Attribute names of the rows.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrNumber    = "number"
	attrDigest    = "digest"
	attrBody      = "body"
	attrToken     = "token"
	attrAt        = "at"
	attrExpires   = "expires"
)

// Keys of the rows.
const (
	partitionTicket = "ticket"
	partitionNode   = "node"
	partitionKey    = "key#"
	sortHead        = "head"
	sortTicket      = "t#"
	sortClaim       = "claim"
)

const (
	// maxBody is the limit for the body of a row; the table service allows 400 KiB per row, other attributes included.
	maxBody = 380 << 10
	// maxObject bounds the compressed size of a snapshot on reading.
	maxObject = 16 << 20
)

func key(partition, sort string) row {
	return row{attrPartition: text(partition), attrSort: text(sort)}
}

func ticketSort(number uint64) string {
	return fmt.Sprintf("%s%020d", sortTicket, number)
}

func text(s string) types.AttributeValue {
	return &types.AttributeValueMemberS{Value: s}
}

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func binary(b []byte) types.AttributeValue {
	return &types.AttributeValueMemberB{Value: b}
}

func (r row) text(name string) string {
	if value, ok := r[name].(*types.AttributeValueMemberS); ok {
		return value.Value
	}
	return ""
}

func (r row) number(name string) (uint64, error) {
	value, ok := r[name].(*types.AttributeValueMemberN)
	if !ok {
		return 0, eris.Errorf("the row %s has no number %q; remedy: restore the table from a backup", r.text(attrSort), name)
	}
	return strconv.ParseUint(value.Value, 10, 64)
}

func (r row) body() ([]byte, error) {
	value, ok := r[attrBody].(*types.AttributeValueMemberB)
	if !ok {
		return nil, eris.Errorf("the row %s has no body; remedy: restore the table from a backup", r.text(attrSort))
	}
	return ticket.Decompress(value.Value)
}
