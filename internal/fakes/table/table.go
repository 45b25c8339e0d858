package table

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxItemBytes is the size limit of an item in bytes.
	maxItemBytes = 400 << 10
	// maxPageBytes is the size limit of a page of a query in bytes.
	maxPageBytes = 1 << 20
	// maxTransactionWrites is the maximum number of writes in one transaction.
	maxTransactionWrites = 100
	// tokenLifetime is how long the service recognizes a client request token.
	tokenLifetime = 10 * time.Minute
)

// Table holds the rows in memory; it is safe for concurrent use.
type Table struct {
	config Config
	mu     sync.Mutex
	rows   map[string]partition
	tokens map[string]usedToken
}

// partition holds the rows of one partition key by sort key.
type partition map[string]item

type usedToken struct {
	request string
	at      time.Time
}

// Config holds the table name and the accepted access key.
type Config struct {
	Table string
	// AccessKeyID is the only accepted access key; if empty, all are accepted.
	AccessKeyID string
}

type putInput struct {
	expressionAttributes
	TableName                           string
	Item                                item
	ConditionExpression                 string
	ReturnValuesOnConditionCheckFailure string
}

type keyInput struct {
	expressionAttributes
	TableName           string
	Key                 item
	ConsistentRead      bool
	ConditionExpression string
}

type queryInput struct {
	expressionAttributes
	TableName              string
	KeyConditionExpression string
	ExclusiveStartKey      item
	Limit                  int
	ScanIndexForward       *bool
	ConsistentRead         bool
}

type transactInput struct {
	ClientRequestToken string
	TransactItems      []struct{ Put *putInput }
}

type itemOutput struct {
	Item item `json:"Item,omitempty"`
}

type queryOutput struct {
	Items            []item `json:"Items"`
	Count            int    `json:"Count"`
	ScannedCount     int    `json:"ScannedCount"`
	LastEvaluatedKey item   `json:"LastEvaluatedKey,omitempty"`
}

// pendingPut is a validated put that is not applied yet; failure is set if its condition is false.
type pendingPut struct {
	key     itemKey
	item    item
	failure *cancellationReason
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, rows: make(map[string]partition), tokens: make(map[string]usedToken)}
}

// Len returns the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.rows {
		n += len(p)
	}
	return n
}

func (t *Table) row(key itemKey) item {
	return t.rows[key.partition][key.sort]
}

func (t *Table) setRow(key itemKey, i item) {
	p := t.rows[key.partition]
	if p == nil {
		p = make(partition)
		t.rows[key.partition] = p
	}
	p[key.sort] = i
}

func (t *Table) getItem(in keyInput) (any, error) {
	key, err := in.Key.key()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return itemOutput{Item: t.row(key)}, nil
}

func (t *Table) putItem(in putInput) (any, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, err := t.prepare(in)
	if err != nil {
		return nil, err
	}
	if w.failure != nil {
		return nil, conditionError(w.failure.Item)
	}
	t.setRow(w.key, w.item)
	return struct{}{}, nil
}

func (t *Table) deleteItem(in keyInput) (any, error) {
	key, err := in.Key.key()
	if err != nil {
		return nil, err
	}
	holds, err := in.parse(in.ConditionExpression)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !holds(t.row(key)) {
		return nil, conditionError(nil)
	}
	delete(t.rows[key.partition], key.sort)
	return struct{}{}, nil
}

// transactWrite checks all conditions and then applies all writes or none.
func (t *Table) transactWrite(in transactInput) (any, error) {
	// Clients send map entries in any order; encoding the decoded input again sorts them, so equal parameters compare
	// equal.
	request, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactionWrites {
		return nil, validationError("a transaction takes 1 to %d writes", maxTransactionWrites)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if done, err := t.checkToken(in.ClientRequestToken, string(request)); done || err != nil {
		return struct{}{}, err
	}
	writes, err := t.prepareAll(in)
	if err != nil {
		return nil, err
	}
	for _, w := range writes {
		t.setRow(w.key, w.item)
	}
	if in.ClientRequestToken != "" {
		t.tokens[in.ClientRequestToken] = usedToken{request: string(request), at: time.Now()}
	}
	return struct{}{}, nil
}

// checkToken reports whether a transaction with this token was already applied.
func (t *Table) checkToken(token, request string) (bool, error) {
	maps.DeleteFunc(t.tokens, func(_ string, u usedToken) bool { return time.Since(u.at) > tokenLifetime })
	used, found := t.tokens[token]
	if !found || token == "" {
		return false, nil
	}
	if used.request != request {
		return false, &protocolError{
			Type:    errorPrefix + "IdempotentParameterMismatchException",
			Message: "the request token was used with other parameters",
		}
	}
	return true, nil
}

func (t *Table) prepareAll(in transactInput) ([]pendingPut, error) {
	var writes []pendingPut
	reasons := make([]cancellationReason, 0, len(in.TransactItems))
	cancelled := false
	touched := make(map[itemKey]bool)
	for _, part := range in.TransactItems {
		if part.Put == nil {
			return nil, validationError("the stand-in supports only Put in transactions")
		}
		w, err := t.prepare(*part.Put)
		if err != nil {
			return nil, err
		}
		if touched[w.key] {
			return nil, validationError("a transaction can't write one item twice")
		}
		touched[w.key] = true
		writes = append(writes, w)
		if w.failure == nil {
			reasons = append(reasons, cancellationReason{Code: "None"})
			continue
		}
		cancelled = true
		reasons = append(reasons, *w.failure)
	}
	if !cancelled {
		return writes, nil
	}
	codes := make([]string, 0, len(reasons))
	for _, r := range reasons {
		codes = append(codes, r.Code)
	}
	return nil, &protocolError{
		Type:    errorPrefix + "TransactionCanceledException",
		Message: fmt.Sprintf("Transaction cancelled, please refer cancellation reasons for specific reasons [%s]", strings.Join(codes, ", ")),
		Reasons: reasons,
	}
}

func (t *Table) prepare(in putInput) (pendingPut, error) {
	if in.TableName != t.config.Table {
		return pendingPut{}, t.notFound(in.TableName)
	}
	key, err := in.Item.key()
	if err != nil {
		return pendingPut{}, err
	}
	if in.Item.size() > maxItemBytes {
		return pendingPut{}, validationError("Item size has exceeded the maximum allowed size")
	}
	holds, err := in.parse(in.ConditionExpression)
	if err != nil {
		return pendingPut{}, err
	}
	w := pendingPut{key: key, item: in.Item}
	if old := t.row(key); !holds(old) {
		w.failure = &cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
		if in.ReturnValuesOnConditionCheckFailure == "ALL_OLD" {
			w.failure.Item = old
		}
	}
	return w, nil
}

func (t *Table) query(in queryInput) (any, error) {
	holds, name, err := in.parseKey(in.KeyConditionExpression)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []item
	for _, row := range t.rows[name] {
		if holds(row) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(*a["sk"].S, *b["sk"].S) })
	if in.ScanIndexForward != nil && !*in.ScanIndexForward {
		slices.Reverse(found)
	}
	return in.page(found)
}

// page returns the rows after the start key, up to the row and byte limits.
func (in queryInput) page(found []item) (any, error) {
	if in.ExclusiveStartKey != nil {
		start, err := in.ExclusiveStartKey.key()
		if err != nil {
			return nil, err
		}
		at := slices.IndexFunc(found, func(i item) bool { return *i["sk"].S == start.sort })
		found = found[at+1:]
	}
	out := queryOutput{Items: []item{}}
	size := 0
	for n, row := range found {
		if size += row.size(); n > 0 && (in.Limit > 0 && n >= in.Limit || size > maxPageBytes) {
			last := out.Items[n-1]
			out.LastEvaluatedKey = item{"pk": last["pk"], "sk": last["sk"]}
			break
		}
		out.Items = append(out.Items, row)
	}
	out.Count, out.ScannedCount = len(out.Items), len(out.Items)
	return out, nil
}

func (t *Table) notFound(name string) error {
	return &protocolError{
		Type:    errorPrefix + "ResourceNotFoundException",
		Message: fmt.Sprintf("Requested resource not found: Table: %s not found", name),
	}
}

// toProtocolError converts an error to an error response.
func toProtocolError(err error) *protocolError {
	var p *protocolError
	if errors.As(err, &p) {
		return p
	}
	return validationError("%v", err)
}
