package store

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/rotisserie/eris"
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
	// maxBody leaves room for the other attributes below the 400 KiB that the table service allows per row.
	maxBody = 380 << 10
	// maxUnpacked bounds what a compressed body may expand to.
	maxUnpacked = 64 << 20
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
	return unpack(value.Value)
}

func pack(data []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

func unpack(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	unpacked, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	return unpacked, nil
}
