package store

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxTransactAttempts bounds the attempts of a transaction that conflicts with another one in progress.
	maxTransactAttempts = 6
	conflictBackoff     = 30 * time.Millisecond
	// requestTokenLength is the longest client request token that the table service accepts.
	requestTokenLength = 36
	// MaxBatch bounds the tickets that one call of Tickets returns.
	MaxBatch = 200
)

// Receipt confirms that a ticket was accepted.
type Receipt struct {
	Number uint64
	Digest string
	// AlreadyAccepted is true when the same content was accepted before. It is false when the table service itself
	// recognized the retry by its request token, which it does for ten minutes.
	AlreadyAccepted bool
}

// encodedTicket is a ticket in its stored form.
type encodedTicket struct {
	ticket model.Ticket
	digest string
	packed []byte
}

// FileTicket sets the head row to the number of the ticket and stores the ticket, in one transaction.
// Filing the same content again under the same number returns a receipt as well.
// It fails with strict.Problems, SizeError, ConflictError, GapError, UncertainError or UnavailableError.
func (s *Store) FileTicket(ctx context.Context, t model.Ticket) (Receipt, error) {
	if err := ticket.Validate(t); err != nil {
		return Receipt{}, err
	}
	f, err := encodeTicket(t)
	if err != nil {
		return Receipt{}, err
	}
	err = s.transact(ctx, f)
	if err == nil {
		return Receipt{Number: t.Number, Digest: f.digest}, nil
	}
	return s.resolveOutcome(ctx, f, err)
}

// Head returns the number of the last accepted ticket, or 0 before the first one.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	r, err := s.get(ctx, "read the head", key(partitionTicket, sortHead))
	if err != nil || r == nil {
		return 0, err
	}
	return r.number(attrNumber)
}

// Ticket returns an accepted ticket; it fails with NotFoundError when no ticket with the number was accepted.
func (s *Store) Ticket(ctx context.Context, number uint64) (model.Ticket, error) {
	r, err := s.get(ctx, "read a ticket", key(partitionTicket, ticketSort(number)))
	if err != nil {
		return model.Ticket{}, err
	}
	if r == nil {
		return model.Ticket{}, &NotFoundError{What: fmt.Sprintf("ticket %d", number)}
	}
	return decodeTicket(r)
}

// Tickets returns the accepted tickets after the number, in order; limit 0 means MaxBatch.
func (s *Store) Tickets(ctx context.Context, after uint64, limit int) ([]model.Ticket, error) {
	if limit <= 0 || limit > MaxBatch {
		limit = MaxBatch
	}
	if after == math.MaxUint64 {
		return nil, nil
	}
	var output *dynamodb.QueryOutput
	err := s.tableService.read(ctx, "read tickets", func(ctx context.Context) (err error) {
		output, err = s.table.Query(ctx, s.ticketQuery(after, limit))
		return err
	})
	if err != nil {
		return nil, err
	}
	tickets := make([]model.Ticket, 0, len(output.Items))
	for _, item := range output.Items {
		t, err := decodeTicket(item)
		if err != nil {
			return nil, err
		}
		tickets = append(tickets, t)
	}
	return tickets, nil
}

func encodeTicket(t model.Ticket) (encodedTicket, error) {
	data, err := ticket.Encode(t)
	if err != nil {
		return encodedTicket{}, eris.Wrap(err, "encode the ticket")
	}
	digest, err := ticket.Digest(t)
	if err != nil {
		return encodedTicket{}, eris.Wrap(err, "encode the ticket")
	}
	packed := ticket.Compress(data)
	if len(packed) > maxBody {
		return encodedTicket{}, &SizeError{Number: t.Number, Size: len(packed)}
	}
	return encodedTicket{ticket: t, digest: digest, packed: packed}, nil
}

// transact sends the transaction and retries it while it conflicts with another one in progress.
func (s *Store) transact(ctx context.Context, f encodedTicket) error {
	input := s.transactionInput(f)
	var err error
	for attempt := range maxTransactAttempts {
		err = s.tableService.write(ctx, "file a ticket", func(ctx context.Context) error {
			_, err := s.table.TransactWriteItems(ctx, input)
			return err
		})
		if !conflicted(err) {
			return err
		}
		delay := time.Duration(float64(conflictBackoff<<attempt) * (0.5 + rand.Float64()))
		if !timer.Sleep(ctx, delay) {
			return err
		}
	}
	return err
}

// transactionInput returns equal values for equal tickets, because the request token covers the whole input.
func (s *Store) transactionInput(f encodedTicket) *dynamodb.TransactWriteItemsInput {
	n := f.ticket.Number
	head := key(partitionTicket, sortHead)
	head[attrNumber], head[attrDigest] = number(n), text(f.digest)
	body := key(partitionTicket, ticketSort(n))
	body[attrNumber], body[attrDigest], body[attrBody] = number(n), text(f.digest), binary(f.packed)
	putHead := &types.Put{TableName: &s.names.Table, Item: head}
	if n == 1 {
		putHead.ConditionExpression = aws.String("attribute_not_exists(#pk)")
		putHead.ExpressionAttributeNames = map[string]string{"#pk": attrPartition}
	} else {
		putHead.ConditionExpression = aws.String("#number = :previous")
		putHead.ExpressionAttributeNames = map[string]string{"#number": attrNumber}
		putHead.ExpressionAttributeValues = row{":previous": number(n - 1)}
	}
	putTicket := &types.Put{
		TableName: &s.names.Table, Item: body,
		ConditionExpression:      aws.String("attribute_not_exists(#pk)"),
		ExpressionAttributeNames: map[string]string{"#pk": attrPartition},
	}
	return &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: aws.String(f.digest[:requestTokenLength]),
		TransactItems:      []types.TransactWriteItem{{Put: putHead}, {Put: putTicket}},
	}
}

// resolveOutcome determines whether a ticket was accepted when the transaction did not report success.
func (s *Store) resolveOutcome(ctx context.Context, f encodedTicket, cause error) (Receipt, error) {
	var unavailable *UnavailableError
	isUnavailable := errors.As(cause, &unavailable)
	if isUnavailable && !unavailable.Sent {
		return Receipt{}, cause
	}
	accepted, err := s.get(ctx, "read a ticket", key(partitionTicket, ticketSort(f.ticket.Number)))
	if err != nil {
		return Receipt{}, &UncertainError{Number: f.ticket.Number, Cause: cause}
	}
	if accepted != nil {
		return compareAccepted(f, accepted)
	}
	if !conditionFailed(cause) {
		return Receipt{}, &UncertainError{Number: f.ticket.Number, Cause: cause}
	}
	head, err := s.Head(ctx)
	if err != nil {
		return Receipt{}, err
	}
	return Receipt{}, &GapError{Number: f.ticket.Number, Head: head}
}

func compareAccepted(f encodedTicket, accepted row) (Receipt, error) {
	if accepted.text(attrDigest) == f.digest {
		return Receipt{Number: f.ticket.Number, Digest: f.digest, AlreadyAccepted: true}, nil
	}
	t, err := decodeTicket(accepted)
	if err != nil {
		return Receipt{}, err
	}
	return Receipt{}, &ConflictError{Number: f.ticket.Number, Accepted: t}
}

func (s *Store) ticketQuery(after uint64, limit int) *dynamodb.QueryInput {
	return &dynamodb.QueryInput{
		TableName:                &s.names.Table,
		ConsistentRead:           aws.Bool(true),
		Limit:                    aws.Int32(int32(limit)),
		KeyConditionExpression:   aws.String("#pk = :pk AND #sk BETWEEN :first AND :last"),
		ExpressionAttributeNames: map[string]string{"#pk": attrPartition, "#sk": attrSort},
		ExpressionAttributeValues: row{
			":pk": text(partitionTicket), ":first": text(ticketSort(after + 1)), ":last": text(ticketSort(math.MaxUint64)),
		},
	}
}

func (s *Store) get(ctx context.Context, operation string, k row) (row, error) {
	var output *dynamodb.GetItemOutput
	err := s.tableService.read(ctx, operation, func(ctx context.Context) (err error) {
		output, err = s.table.GetItem(ctx, &dynamodb.GetItemInput{
			TableName: &s.names.Table, Key: k, ConsistentRead: aws.Bool(true),
		})
		return err
	})
	if err != nil {
		return nil, err
	}
	return output.Item, nil
}

func decodeTicket(r row) (model.Ticket, error) {
	data, err := r.body()
	if err != nil {
		return model.Ticket{}, err
	}
	t, err := ticket.Decode(data)
	if err != nil {
		return model.Ticket{}, eris.Wrap(err, "decode an accepted ticket; remedy: use the program version that filed it")
	}
	return t, nil
}

// conditionFailed reports whether a condition of the transaction failed, so that it had no effect.
func conditionFailed(err error) bool {
	return hasReason(err, "ConditionalCheckFailed")
}

// conflicted reports whether the transaction was canceled because another one was changing the same rows.
func conflicted(err error) bool {
	return hasReason(err, "TransactionConflict") && !conditionFailed(err)
}

func hasReason(err error, code string) bool {
	var cancelled *types.TransactionCanceledException
	if !errors.As(err, &cancelled) {
		return false
	}
	for _, reason := range cancelled.CancellationReasons {
		if aws.ToString(reason.Code) == code {
			return true
		}
	}
	return false
}
