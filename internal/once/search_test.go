package once

import (
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/search"
)

// deepVariable is the environment variable that enables the searches that take minutes.
const deepVariable = "ONCE_DEEP_SEARCH"

// quickScenarios together cover every kind of fault; all of them are searched completely.
var quickScenarios = []scenario{
	{Name: "three requests", Requests: 3, Attempts: 1},
	{Name: "agent restart", Requests: 2, Attempts: 2, AgentRestarts: 1},
	{Name: "owner restart", Requests: 2, Attempts: 1, Restarts: 1},
	{Name: "refusal", Requests: 2, Attempts: 2, Refusals: 1},
	{Name: "duplicate packets", Requests: 2, Attempts: 1, Duplicates: 1},
	{Name: "duplicate attempts", Requests: 2, Attempts: 2, Duplicates: 1, DuplicateAttempts: true},
	{Name: "dropped epoch", Requests: 2, Attempts: 1, Drops: 1, Join: true},
	{Name: "plain key", Requests: 2, Attempts: 1, Plain: true},
	{Name: "handover", Requests: 2, Attempts: 1, Handover: true, TokenExpiry: true},
	{Name: "handover, one restart", Requests: 2, Attempts: 1, Handover: true, Restarts: 1},
}

// deepScenarios combine faults; those with a limit are not searched completely.
var deepScenarios = []scenario{
	{Name: "three requests, two attempts", Requests: 3, Attempts: 2},
	{Name: "three requests, three edges", Requests: 3, Attempts: 1, ThirdEdge: true},
	{Name: "plain key, three edges", Requests: 3, Attempts: 1, Plain: true, ThirdEdge: true, Limit: 4_000_000},
	{Name: "three requests, owner restart", Requests: 3, Attempts: 1, Restarts: 1},
	{Name: "three requests, plain key", Requests: 3, Attempts: 1, Plain: true},
	{Name: "plain key, restarts", Requests: 2, Attempts: 2, Plain: true, Restarts: 1, AgentRestarts: 1, Drops: 1},
	{Name: "restarts, drop, join", Requests: 2, Attempts: 2, Restarts: 1, AgentRestarts: 1, Drops: 1, Join: true},
	{Name: "expired token", Requests: 3, Attempts: 2, TokenExpiry: true},
	{Name: "handover, restart", Requests: 2, Attempts: 2, Restarts: 1, Handover: true, Duplicates: 1},
	{
		Name: "three requests, all faults", Requests: 3, Attempts: 2, Restarts: 1, AgentRestarts: 1, Drops: 1, Duplicates: 1, Refusals: 1,
		Join: true, Handover: true, Limit: 4_000_000, // a limit of 20 million needed more than 32 GB
	},
}

func explore(t *testing.T, s scenario, seen *search.StepCounter) search.Result {
	r := search.Explore(&protocol{scenario: s, seen: seen}, search.Options{MaxStates: s.Limit})
	t.Logf("%s: %s", s.Name, r)
	return r
}

// Guards against any order of steps in which a request runs twice or a caller gets a wrong outcome.
func TestExhaustiveSearch(t *testing.T) {
	scenarios := quickScenarios
	if os.Getenv(deepVariable) != "" {
		scenarios = slices.Concat(quickScenarios, deepScenarios)
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
	t.Logf("total states: %d", states)
	for _, name := range []string{
		"grant", "second grant", "attempt after fence", "answer", "evidence", "dropped epoch", "running", "not-run", "handover", "late handover",
	} {
		require.NotZero(t, seen.Counts()[name], "no step reached %q", name)
	}
}

// Guards against a search that misses faults: without each safeguard it must find the fault that the safeguard
// prevents.
func TestSearchFindsFaultOfRemovedSafeguard(t *testing.T) {
	const twice, notRun = "ran twice", "not-run after the request ran"
	for _, s := range []scenario{
		{Name: "record before send", Without: withoutRecord, Requests: 2, Attempts: 1, Expect: twice},
		{Name: "fence before second attempt", Without: withoutFence, Requests: 1, Attempts: 2, Expect: twice},
		{Name: "record of new owner after grant", Without: withoutMovedRecord, Requests: 2, Attempts: 1, Expect: twice},
		{Name: "epoch check after eviction", Without: withoutFloors, Requests: 2, Attempts: 1, Drops: 1, Expect: twice},
		{Name: "agent incarnation check", Without: withoutAgentIncarnation, Requests: 1, Attempts: 2, AgentRestarts: 1, Expect: twice},
		{Name: "owner incarnation check", Without: withoutOwnerIncarnation, Requests: 2, Attempts: 1, Restarts: 1, Expect: twice},
		{Name: "claim read again", Without: withoutClaimRead, Plain: true, Requests: 2, Attempts: 1, Expect: twice},
		{Name: "unknown while platform is unavailable", Without: withoutUnknownOnClaimFailure, Plain: true, Requests: 2, Attempts: 1, Expect: notRun},
		{Name: "fence after refusal of a seen key", Without: withoutInDoubtOnSeen, Requests: 1, Attempts: 2, DuplicateAttempts: true, Duplicates: 1, Expect: twice},
		{Name: "successor incarnation check", Without: withoutSuccessorIncarnation, Requests: 2, Attempts: 1, Handover: true, Restarts: 1, Expect: twice},
		{Name: "seal before handover", Without: withoutSeal, Requests: 2, Attempts: 1, Handover: true, Expect: twice},
		{Name: "attempts arrive once", Requests: 1, Attempts: 2, DuplicateAttempts: true, Duplicates: 1, Refusals: 1, Expect: twice},
	} {
		t.Run(s.Name, func(t *testing.T) {
			r := explore(t, s, &search.StepCounter{})
			require.NotNil(t, r.Violation)
			t.Log(r.Violation)
		})
	}
}
