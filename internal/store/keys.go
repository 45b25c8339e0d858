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

// Claim names the owner of a plain idempotency key.
type Claim struct {
	// Key is the plain key as the caller sent it, made unique per service by the caller of ClaimKey.
	Key string
	// Token is the owner token in the row.
	Token string
	// Won is true when the row holds the token that was offered.
	Won bool
}

// ClaimKey offers an owner token for a plain key and returns the claim that is in force, whosever it is.
// Claims are never overwritten and do not expire, because a key whose row is gone would count as new and run again.
// It fails with UnavailableError; then the same offer may be repeated.
func (s *Store) ClaimKey(ctx context.Context, plainKey, token string) (Claim, error) {
	item := key(claimPartition(plainKey), sortClaim)
	item[attrToken], item[attrAt] = text(token), number(s.seconds())
	err := s.tableUse.write(ctx, "claim a key", func(ctx context.Context) error {
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
	// A lost answer of our own earlier write shows here as a row with our token.
	holder := row(taken.Item).text(attrToken)
	return Claim{Key: plainKey, Token: holder, Won: holder == token}, nil
}

// claimPartition hashes the key, because callers choose its length and its bytes and the table service limits both.
func claimPartition(plainKey string) string {
	sum := sha256.Sum256([]byte(plainKey))
	return partitionKey + hex.EncodeToString(sum[:])
}

// seconds returns the time in seconds since 1970.
func (s *Store) seconds() uint64 {
	return uint64(max(s.clock.Now().Unix(), 0))
}
