package once

import (
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/search"
)

// deepVariable starts the searches that take minutes.
const deepVariable = "ONCE_DEEP_SEARCH"

// shallow scenarios together visit every kind of fault; none is cut off.
var shallow = []scenario{
	{Name: "three sends", Sends: 3, Attempts: 1},
	{Name: "agent restart", Sends: 2, Attempts: 2, AgentRestarts: 1},
	{Name: "owner restart", Sends: 2, Attempts: 1, Restarts: 1},
	{Name: "refusal", Sends: 2, Attempts: 2, Refuse: 1},
	{Name: "repeated packets", Sends: 2, Attempts: 1, Dups: 1},
	{Name: "copies of attempts", Sends: 2, Attempts: 2, Dups: 1, Copies: true},
	{Name: "dropped epoch", Sends: 2, Attempts: 1, Drops: 1, Join: true},
	{Name: "plain key", Sends: 2, Attempts: 1, Plain: true},
	{Name: "handover", Sends: 2, Attempts: 1, Handover: true, Aging: true},
	{Name: "handover, one restart", Sends: 2, Attempts: 1, Handover: true, Restarts: 1},
}

// deep scenarios combine faults; those with a limit are cut off.
var deep = []scenario{
	{Name: "three sends, two attempts", Sends: 3, Attempts: 2},
	{Name: "three sends, three edges", Sends: 3, Attempts: 1, Three: true},
	{Name: "plain key, three edges", Sends: 3, Attempts: 1, Plain: true, Three: true, Limit: 4_000_000},
	{Name: "three sends, owner restart", Sends: 3, Attempts: 1, Restarts: 1},
	{Name: "three sends, plain key", Sends: 3, Attempts: 1, Plain: true},
	{Name: "plain key, restarts", Sends: 2, Attempts: 2, Plain: true, Restarts: 1, AgentRestarts: 1, Drops: 1},
	{Name: "restarts, drop, join", Sends: 2, Attempts: 2, Restarts: 1, AgentRestarts: 1, Drops: 1, Join: true},
	{Name: "expired token", Sends: 3, Attempts: 2, Aging: true},
	{Name: "handover, restart", Sends: 2, Attempts: 2, Restarts: 1, Handover: true, Dups: 1},
	{
		Name: "three sends, all faults", Sends: 3, Attempts: 2, Restarts: 1, AgentRestarts: 1, Drops: 1, Dups: 1, Refuse: 1,
		Join: true, Handover: true, Limit: 4_000_000, // a limit of 20 million ran out of 32 GB
	},
}

func explore(t *testing.T, s scenario, seen *search.StepCounter) search.Result {
	r := search.Explore(&protocol{scenario: s, seen: seen}, search.Options{MaxStates: s.Limit})
	t.Logf("%s: %s", s.Name, r)
	return r
}

// Guards against any order of steps in which a request runs twice or a caller is told something untrue.
func TestExhaustiveSearch(t *testing.T) {
	scenarios := shallow
	if os.Getenv(deepVariable) != "" {
		scenarios = slices.Concat(shallow, deep)
	}
	seen, states := &search.StepCounter{}, 0
	for _, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) {
			r := explore(t, s, seen)
			require.Nil(t, r.Violation, "%s", r.Violation)
			require.True(t, r.Complete || s.Limit > 0)
			states += r.States
		})
	}
	t.Logf("states in all: %d", states)
	for _, name := range []string{
		"grant", "second grant", "attempt after fence", "answer", "evidence", "dropped epoch", "running", "not-run", "handover", "late handover",
	} {
		require.NotZero(t, seen.Counts()[name], "no step reached %q", name)
	}
}

// Guards against a search that would not notice a fault: each removed safeguard must lead to the known one.
func TestSearchFindsFaultOfRemovedSafeguard(t *testing.T) {
	const twice, notRun = "ran twice", "not-run after the request ran"
	for _, s := range []scenario{
		{Name: "record before send", Without: withoutRecord, Sends: 2, Attempts: 1, Expect: twice},
		{Name: "fence before second attempt", Without: withoutFence, Sends: 1, Attempts: 2, Expect: twice},
		{Name: "pointer after grant", Without: withoutPointer, Sends: 2, Attempts: 1, Expect: twice},
		{Name: "epoch check after eviction", Without: withoutFloors, Sends: 2, Attempts: 1, Drops: 1, Expect: twice},
		{Name: "agent incarnation check", Without: withoutAgentIncarnation, Sends: 1, Attempts: 2, AgentRestarts: 1, Expect: twice},
		{Name: "owner incarnation check", Without: withoutOwnerIncarnation, Sends: 2, Attempts: 1, Restarts: 1, Expect: twice},
		{Name: "claim read again", Without: withoutClaimRead, Plain: true, Sends: 2, Attempts: 1, Expect: twice},
		{Name: "unknown while platform is away", Without: withoutUnclaimed, Plain: true, Sends: 2, Attempts: 1, Expect: notRun},
		{Name: "doubt after refusal of a seen key", Without: withoutSeenDoubt, Sends: 1, Attempts: 2, Copies: true, Dups: 1, Expect: twice},
		{Name: "successor incarnation check", Without: withoutSuccessorIncarnation, Sends: 2, Attempts: 1, Handover: true, Restarts: 1, Expect: twice},
		{Name: "seal before handover", Without: withoutSealOnce, Sends: 2, Attempts: 1, Handover: true, Expect: twice},
		{Name: "attempts arrive once", Sends: 1, Attempts: 2, Copies: true, Dups: 1, Refuse: 1, Expect: twice},
	} {
		t.Run(s.Name, func(t *testing.T) {
			r := explore(t, s, &search.StepCounter{})
			require.NotNil(t, r.Violation)
			t.Log(r.Violation)
		})
	}
}
