package cloud

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/internal/store"
)

type row = map[string]types.AttributeValue

func startPlatform(t *testing.T) (*Platform, *dynamodb.Client) {
	t.Helper()
	p, err := Start(Config{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p, newTableClient(p, DefaultAccessKeyID)
}

func newTableClient(p *Platform, accessKeyID string) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(p.Settings().TableEndpoint), Region: "r", RetryMaxAttempts: 1,
		HTTPClient:  &http.Client{Transport: store.PlainBodies{RoundTripper: &http.Transport{}}},
		Credentials: credentials.NewStaticCredentialsProvider(accessKeyID, "s", ""),
	})
}

func item(pk, sk string, n int) row {
	return row{
		"pk": &types.AttributeValueMemberS{Value: pk}, "sk": &types.AttributeValueMemberS{Value: sk},
		"n": &types.AttributeValueMemberN{Value: fmt.Sprint(n)},
	}
}

func put(i row, condition string, n int) *types.Put {
	p := &types.Put{TableName: aws.String(DefaultName), Item: i}
	if condition != "" {
		p.ConditionExpression = &condition
		p.ExpressionAttributeNames = map[string]string{"#n": "n", "#pk": "pk"}
		p.ExpressionAttributeValues = row{":n": &types.AttributeValueMemberN{Value: fmt.Sprint(n)}}
	}
	return p
}

// Guards against a stand-in that applies part of a cancelled transaction, which would hide the same fault in the
// client.
func TestTransactionsWriteAllOrNothing(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()
	model := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		var parts []types.TransactWriteItem
		next := make(map[string]int)
		holds := true
		for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching("[a-f]"), 1, 4, rapid.ID[string]).Draw(t, "rows") {
			old, found := model[name]
			n := rapid.IntRange(0, 3).Draw(t, "n")
			condition := rapid.SampledFrom([]string{"", "attribute_not_exists(#pk)", "#n = :n", "NOT (#n < :n) OR attribute_not_exists(#pk)"}).Draw(t, "condition")
			switch condition {
			case "attribute_not_exists(#pk)":
				holds = holds && !found
			case "#n = :n":
				holds = holds && found && old == n
			case "NOT (#n < :n) OR attribute_not_exists(#pk)":
				holds = holds && (!found || old >= n)
			}
			next[name] = n
			parts = append(parts, types.TransactWriteItem{Put: put(item("p", name, n), condition, n)})
		}
		_, err := client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: parts})
		require.Equal(t, holds, err == nil, "%v", err)
		if holds {
			for name, n := range next {
				model[name] = n
			}
		}
		out, err := client.Query(ctx, &dynamodb.QueryInput{
			TableName: aws.String(DefaultName), KeyConditionExpression: aws.String("#pk = :pk"),
			ExpressionAttributeNames:  map[string]string{"#pk": "pk"},
			ExpressionAttributeValues: row{":pk": &types.AttributeValueMemberS{Value: "p"}},
		})
		require.NoError(t, err)
		require.Len(t, out.Items, len(model))
		for _, i := range out.Items {
			require.Equal(t, item("p", i["sk"].(*types.AttributeValueMemberS).Value, model[i["sk"].(*types.AttributeValueMemberS).Value]), i)
		}
	})
}

// Guards against a stand-in that is more lenient than the service: token reuse, item size, table name, access key,
// unknown parameters.
func TestServiceRulesAreEnforced(t *testing.T) {
	p, client := startPlatform(t)
	ctx := context.Background()
	transact := func(n int) error {
		_, err := client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
			ClientRequestToken: aws.String("token"), TransactItems: []types.TransactWriteItem{{Put: put(item("p", "a", n), "", 0)}},
		})
		return err
	}
	// The client encodes maps in random order, so a single retry might pass even if tokens were compared by request bytes.
	for range 20 {
		require.NoError(t, transact(1))
	}
	var mismatch *types.IdempotentParameterMismatchException
	require.ErrorAs(t, transact(2), &mismatch)

	large := item("p", "large", 1)
	large["b"] = &types.AttributeValueMemberB{Value: make([]byte, 400<<10)}
	_, err := client.PutItem(ctx, &dynamodb.PutItemInput{TableName: aws.String(DefaultName), Item: large})
	require.ErrorContains(t, err, "Item size")
	_, err = client.PutItem(ctx, &dynamodb.PutItemInput{TableName: aws.String("other"), Item: item("p", "a", 1)})
	var missing *types.ResourceNotFoundException
	require.ErrorAs(t, err, &missing)
	_, err = client.PutItem(ctx, &dynamodb.PutItemInput{TableName: aws.String(DefaultName), Item: item("p", "a", 1), ReturnConsumedCapacity: "TOTAL"})
	require.ErrorContains(t, err, "unknown field")
	_, err = newTableClient(p, "foreign").GetItem(ctx, &dynamodb.GetItemInput{TableName: aws.String(DefaultName), Key: row{}})
	require.ErrorContains(t, err, "UnrecognizedClientException")
}

// Guards against query pages that repeat or skip rows or that exceed 1 MiB.
func TestQueryPages(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()
	for i := range 12 {
		large := item("p", fmt.Sprintf("%02d", i), i)
		large["b"] = &types.AttributeValueMemberB{Value: make([]byte, 300<<10)}
		_, err := client.PutItem(ctx, &dynamodb.PutItemInput{TableName: aws.String(DefaultName), Item: large})
		require.NoError(t, err)
	}
	var seen []string
	var from row
	for {
		out, err := client.Query(ctx, &dynamodb.QueryInput{
			TableName: aws.String(DefaultName), KeyConditionExpression: aws.String("#pk = :pk AND #sk BETWEEN :a AND :b"), ExclusiveStartKey: from,
			ExpressionAttributeNames: map[string]string{"#pk": "pk", "#sk": "sk"},
			ExpressionAttributeValues: row{
				":pk": &types.AttributeValueMemberS{Value: "p"}, ":a": &types.AttributeValueMemberS{Value: "01"}, ":b": &types.AttributeValueMemberS{Value: "10"},
			},
		})
		require.NoError(t, err)
		require.LessOrEqual(t, len(out.Items), 3)
		for _, i := range out.Items {
			seen = append(seen, i["sk"].(*types.AttributeValueMemberS).Value)
		}
		if from = out.LastEvaluatedKey; from == nil {
			break
		}
	}
	require.Equal(t, strings.Fields("01 02 03 04 05 06 07 08 09 10"), seen)
}

// Guards against listings that skip or repeat objects, and against storing a body that does not match its declared
// hash.
func TestObjectsAndListing(t *testing.T) {
	p, _ := startPlatform(t)
	ctx := context.Background()
	client := s3.New(s3.Options{
		BaseEndpoint: aws.String(p.Settings().ObjectEndpoint), Region: "r", UsePathStyle: true,
		Credentials:                credentials.NewStaticCredentialsProvider(DefaultAccessKeyID, "s", ""),
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
	})
	for _, key := range []string{"b/1", "a/3", "a/1", "a/2"} {
		_, err := client.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String(DefaultName), Key: &key, Body: strings.NewReader(key)})
		require.NoError(t, err)
	}
	var keys []string
	pages := s3.NewListObjectsV2Paginator(client, &s3.ListObjectsV2Input{Bucket: aws.String(DefaultName), Prefix: aws.String("a/"), MaxKeys: aws.Int32(2)})
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		require.NoError(t, err)
		for _, o := range page.Contents {
			keys = append(keys, aws.ToString(o.Key))
		}
	}
	require.Equal(t, []string{"a/1", "a/2", "a/3"}, keys)
	out, err := client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(DefaultName), Key: aws.String("a/2")})
	require.NoError(t, err)
	body, err := io.ReadAll(out.Body)
	require.NoError(t, errors.Join(err, out.Body.Close()))
	require.Equal(t, "a/2", string(body))
	request, err := http.NewRequest(http.MethodPut, p.Settings().ObjectEndpoint+"/"+DefaultName+"/x", strings.NewReader("y"))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Credential="+DefaultAccessKeyID+"/")
	request.Header.Set("X-Amz-Content-Sha256", strings.Repeat("0", 64))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, errors.Join(err, response.Body.Close()))
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
}

// Guards against a control endpoint that accepts rules without effect, and against rules that apply after their count
// is used up or after their removal.
func TestControlEndpointSetsFaults(t *testing.T) {
	p, client := startPlatform(t)
	ctx := context.Background()
	control := func(method, path, body string) (int, string) {
		request, err := http.NewRequest(method, p.ControlEndpoint()+path, bytes.NewBufferString(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		answer, err := io.ReadAll(response.Body)
		require.NoError(t, errors.Join(err, response.Body.Close()))
		return response.StatusCode, string(answer)
	}
	read := func() (bool, time.Duration) {
		began := time.Now()
		_, err := client.GetItem(ctx, &dynamodb.GetItemInput{TableName: aws.String(DefaultName), Key: row{
			"pk": &types.AttributeValueMemberS{Value: "p"}, "sk": &types.AttributeValueMemberS{Value: "lost"},
		}})
		return err == nil, time.Since(began)
	}
	for _, bad := range []string{`[{"kind":"gone"}]`, `[{"kind":"slow"}]`, `[{"kind":"away","share":2}]`, `[{"knd":"away"}]`, `{`} {
		status, answer := control(http.MethodPut, "/v1/faults", bad)
		require.Equal(t, http.StatusBadRequest, status, bad)
		require.Contains(t, answer, "remedy: ", bad)
	}
	status, _ := control(http.MethodPut, "/v1/faults", `[{"service":"table","operation":"GetItem","kind":"away","count":1},{"kind":"slow","delay":"50ms"}]`)
	require.Equal(t, http.StatusOK, status)
	answered, _ := read()
	require.False(t, answered)
	answered, took := read()
	require.True(t, answered)
	require.GreaterOrEqual(t, took, 50*time.Millisecond)
	status, _ = control(http.MethodDelete, "/v1/faults", "")
	require.Equal(t, http.StatusNoContent, status)
	_, answer := control(http.MethodGet, "/v1/faults", "")
	require.JSONEq(t, "[]", answer)
	_, answer = control(http.MethodGet, "/v1/counters", "")
	require.JSONEq(t, `[{"service":"table","operation":"GetItem","requests":2}]`, answer)
}
