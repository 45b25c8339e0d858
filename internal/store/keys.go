package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
)

// Claim records the owner of a plain idempotency key.
type Claim struct {
	// Key is the key that the client sent; the caller of ClaimKey makes it unique per service.
	Key string
	// Token is the owner token in the stored row.
	Token string
	// Won is true when the row holds the token that was passed to ClaimKey.
	Won bool
}

// ClaimKey stores an owner token for a plain key unless the key has one, and returns the stored claim.
// Claims are never overwritten and do not expire, because the request of a key without a row would run again.
// It fails with UnavailableError; the caller may then retry with the same token.
func (s *Store) ClaimKey(ctx context.Context, plainKey, token string) (Claim, error) {
	item := key(claimPartition(plainKey), sortClaim)
	item[attrToken], item[attrAt] = text(token), number(s.seconds())
	err := s.tableService.write(ctx, "claim a key", func(ctx context.Context) error {
		_, err := s.table.PutItem(ctx, &dynamodb.PutItemInput{
			TableName: &s.names.Table, Item: item,
			ConditionExpression:                 aws.String("attribute_not_exists(#pk)"),
			ExpressionAttributeNames:            map[string]string{"#pk": attrPartition},
			ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
		})
		return err
	})
	if err == nil {
		return Claim{Key: plainKey, Token: token, Won: true}, nil
	}
	var taken *types.ConditionalCheckFailedException
	if !errors.As(err, &taken) {
		return Claim{}, err
	}
	// After a lost response to an earlier attempt, the row holds the token of this call.
	holder := row(taken.Item).text(attrToken)
	return Claim{Key: plainKey, Token: holder, Won: holder == token}, nil
}

// claimPartition hashes the key, because the table service limits the length and the bytes that clients may choose.
func claimPartition(plainKey string) string {
	sum := sha256.Sum256([]byte(plainKey))
	return partitionKey + hex.EncodeToString(sum[:])
}

// seconds returns the Unix time, in seconds since 1970.
func (s *Store) seconds() uint64 {
	return uint64(max(s.clock.Now().Unix(), 0))
}
