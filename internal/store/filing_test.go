package store_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/fakes/fault"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against two tickets accepted under one number, and against a refusal that does not name the accepted ticket.
func TestRacingOperatorsGetOneAcceptance(t *testing.T) {
	const operators, rounds = 8, 20
	platform := startPlatform(t)
	ctx := context.Background()
	for n := uint64(1); n <= rounds; n++ {
		var mu sync.Mutex
		var winners []string
		var refusals []error
		var tasks conc.WaitGroup
		for o := range operators {
			s := newStore(t, platform, store.Config{})
			tasks.Go(func() {
				summary := fmt.Sprintf("operator %d", o)
				_, err := s.FileTicket(ctx, sampleTicket(n, summary))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					winners = append(winners, summary)
					return
				}
				refusals = append(refusals, err)
			})
		}
		tasks.Wait()
		require.Len(t, winners, 1)
		require.Len(t, refusals, operators-1)
		for _, err := range refusals {
			var conflict *store.ConflictError
			require.ErrorAs(t, err, &conflict)
			require.Equal(t, winners[0], conflict.Accepted.Summary)
		}
	}
}

// Guards against a receipt for a ticket that was not accepted and a conflict reported for the accepted one, while calls
// are delayed, throttled or conflicting and responses are lost at random.
func TestRacingOperatorsUnderFaults(t *testing.T) {
	const operators, rounds = 4, 25
	platform := startPlatform(t)
	require.NoError(t, platform.Faults.Set(
		fault.Rule{Kind: fault.Lost, Share: 0.25},
		fault.Rule{Kind: fault.Conflict, Share: 0.15},
		fault.Rule{Kind: fault.Throttle, Share: 0.1},
		fault.Rule{Kind: fault.Slow, Delay: model.Duration(150 * time.Millisecond), Share: 0.1},
	))
	ctx := context.Background()
	for n := uint64(1); n <= rounds; n++ {
		results := make([]error, operators)
		var tasks conc.WaitGroup
		for o := range operators {
			tasks.Go(func() {
				// Each attempt is a new process of the operator's tool without state from the earlier one.
				for results[o] = errUndecided; undecided(results[o]); {
					s := newStore(t, platform, store.Config{Timeout: 100 * time.Millisecond})
					_, results[o] = s.FileTicket(ctx, sampleTicket(n, fmt.Sprintf("operator %d", o)))
				}
			})
		}
		tasks.Wait()
		reader := newStore(t, platform, store.Config{Attempts: 20})
		accepted, err := reader.Ticket(ctx, n)
		require.NoError(t, err)
		for o, err := range results {
			require.Equal(t, accepted.Summary == fmt.Sprintf("operator %d", o), err == nil, "ticket %d of %q: %v", n, accepted.Summary, err)
		}
	}
}

var errUndecided error = &store.UncertainError{}

func undecided(err error) bool {
	var uncertain *store.UncertainError
	var unavailable *store.UnavailableError
	return errors.As(err, &uncertain) || errors.As(err, &unavailable)
}

// Guards against filing twice, or reporting a failure, when the response to any call of FileTicket is lost.
func TestFilingSurvivesLostResponses(t *testing.T) {
	platform := startPlatform(t)
	s := newStore(t, platform, store.Config{})
	ctx := context.Background()
	for n, rules := range [][]fault.Rule{
		{{Operation: "TransactWriteItems", Kind: fault.Lost, Count: 1}},
		{{Operation: "TransactWriteItems", Kind: fault.Lost, Count: 2}},
		{{Operation: "TransactWriteItems", Kind: fault.Lost, Count: 2}, {Operation: "GetItem", Kind: fault.Lost, Count: 1}},
		{{Operation: "TransactWriteItems", Kind: fault.Throttle, Count: 1}},
		{{Kind: fault.Conflict, Count: 3}},
	} {
		number := uint64(n + 1)
		require.NoError(t, platform.Faults.Set(rules...))
		_, err := s.FileTicket(ctx, sampleTicket(number, "first"))
		require.NoError(t, err)
		require.NoError(t, platform.Faults.Set())
		again, err := s.FileTicket(ctx, sampleTicket(number, "first"))
		require.NoError(t, err)
		require.Equal(t, number, again.Number)
		head, err := s.Head(ctx)
		require.NoError(t, err)
		require.Equal(t, number, head)
	}
}

// Guards against an unknown outcome that is reported as a refusal, and against filing again that takes effect twice.
func TestOutageDuringFilingIsUncertainUntilFiledAgain(t *testing.T) {
	platform := startPlatform(t)
	ctx := context.Background()
	require.NoError(t, platform.Faults.Set(
		fault.Rule{Operation: "TransactWriteItems", Kind: fault.Lost, Count: 1}, fault.Rule{Kind: fault.Away},
	))
	_, err := newStore(t, platform, store.Config{}).FileTicket(ctx, sampleTicket(1, "first"))
	var uncertain *store.UncertainError
	require.ErrorAs(t, err, &uncertain)
	require.Contains(t, err.Error(), "file the same file again")

	require.NoError(t, platform.Faults.Set())
	s := newStore(t, platform, store.Config{})
	_, err = s.FileTicket(ctx, sampleTicket(1, "other"))
	var conflict *store.ConflictError
	require.ErrorAs(t, err, &conflict)
	_, err = s.FileTicket(ctx, sampleTicket(2, "second"))
	require.NoError(t, err)
	receipt, err := s.FileTicket(ctx, sampleTicket(1, "first"))
	require.NoError(t, err, "filing again is harmless even after later tickets")
	require.EqualValues(t, 1, receipt.Number)
	_, err = s.FileTicket(ctx, sampleTicket(9, "gap"))
	var gap *store.GapError
	require.ErrorAs(t, err, &gap)
	require.EqualValues(t, 2, gap.Head)
}

// Guards against overwriting an accepted ticket after the head row was restored from an older backup.
func TestAcceptedRowIsNeverOverwritten(t *testing.T) {
	platform := startPlatform(t)
	s := newStore(t, platform, store.Config{})
	ctx := context.Background()
	for n := uint64(1); n <= 2; n++ {
		_, err := s.FileTicket(ctx, sampleTicket(n, "first"))
		require.NoError(t, err)
	}
	access := platform.Settings()
	_, err := dynamodb.New(dynamodb.Options{
		BaseEndpoint: &access.TableEndpoint, Region: access.Region,
		Credentials: credentials.NewStaticCredentialsProvider(access.AccessKeyID, access.SecretAccessKey, ""),
	}).PutItem(ctx, &dynamodb.PutItemInput{TableName: &access.Table, Item: map[string]types.AttributeValue{
		"pk": &types.AttributeValueMemberS{Value: "ticket"}, "sk": &types.AttributeValueMemberS{Value: "head"},
		"number": &types.AttributeValueMemberN{Value: "1"},
	}})
	require.NoError(t, err)
	_, err = s.FileTicket(ctx, sampleTicket(2, "other"))
	var conflict *store.ConflictError
	require.ErrorAs(t, err, &conflict)
	kept, err := s.Ticket(ctx, 2)
	require.NoError(t, err)
	require.Equal(t, "first", kept.Summary)
}

// Guards against a second filing of a ticket whose slow transaction takes effect after the caller timed out.
func TestSlowFilingTakesEffectAfterTimeout(t *testing.T) {
	platform := startPlatform(t)
	s := newStore(t, platform, store.Config{Timeout: 100 * time.Millisecond, Attempts: 1})
	ctx := context.Background()
	require.NoError(t, platform.Faults.Set(
		fault.Rule{Operation: "TransactWriteItems", Kind: fault.Slow, Delay: model.Duration(300 * time.Millisecond), Count: 1},
	))
	_, err := s.FileTicket(ctx, sampleTicket(1, "first"))
	var uncertain *store.UncertainError
	require.ErrorAs(t, err, &uncertain)
	require.Eventually(t, func() bool {
		head, err := s.Head(ctx)
		return err == nil && head == 1
	}, 5*time.Second, 20*time.Millisecond)
	_, err = s.FileTicket(ctx, sampleTicket(1, "first"))
	require.NoError(t, err)
}

// Guards against an oversized ticket that passes validation and is refused only by the table service.
func TestOversizedTicketIsRefusedWithRemedy(t *testing.T) {
	s := newStore(t, startPlatform(t), store.Config{})
	_, err := s.FileTicket(context.Background(), randomTicket(ticket.MaxRoutes))
	var size *store.SizeError
	require.ErrorAs(t, err, &size)
	require.Contains(t, err.Error(), "split")
}

// Guards against a starting node that can't read the configuration from a snapshot and tickets, or from tickets alone
// while the object store is unavailable.
func TestTicketsAfterAndConfigurationAgree(t *testing.T) {
	platform := startPlatform(t)
	s := newStore(t, platform, store.Config{})
	ctx := context.Background()
	want := &model.Configuration{}
	for n := uint64(1); n <= 120; n++ {
		next := sampleTicket(n, "step")
		next.Services[0].Name = fmt.Sprintf("service-%d", n%7)
		_, err := s.FileTicket(ctx, next)
		require.NoError(t, err)
		want = ticket.Apply(want, next)
		if n == 50 {
			require.NoError(t, s.SaveSnapshot(ctx, want))
		}
	}
	got, err := s.Configuration(ctx)
	require.NoError(t, err)
	require.Equal(t, want, got)
	batch, err := s.TicketsAfter(ctx, 0)
	require.NoError(t, err)
	require.EqualValues(t, 50, batch.Snapshot.Number)
	require.Len(t, batch.Tickets, 70)
	require.NoError(t, platform.Faults.Set(fault.Rule{Service: "objects", Kind: fault.Away}))
	got, err = s.Configuration(ctx)
	require.NoError(t, err, "the tickets alone lead to the configuration")
	require.Equal(t, want, got)
}
