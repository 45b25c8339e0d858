package once

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/search"
)

func explore(t *testing.T, s scenario) (search.Result, *coverage) {
	seen := &coverage{}
	r := search.Explore(&protocol{scenario: s, seen: seen}, search.Options{Limit: s.Limit})
	t.Logf("%s: %s", s.Name, r)
	return r, seen
}

// Guards against any order of steps in which a request runs twice or a caller is told something untrue.
func TestExhaustiveSearch(t *testing.T) {
	for _, s := range []scenario{
		{Name: "two sends", Sends: 2, Attempts: 2, Limit: 1000000},
		{Name: "agent restart", Sends: 2, Attempts: 2, AgentRestarts: 1, Limit: 1000000},
		{Name: "owner restart", Sends: 2, Attempts: 1, Restarts: 1, Limit: 1000000},
		{Name: "refusal", Sends: 2, Attempts: 2, Refuse: 1, Limit: 1000000},
		{Name: "dup", Sends: 2, Attempts: 1, Dups: 1, Limit: 1000000},
		{Name: "drop", Sends: 2, Attempts: 1, Drops: 1, Limit: 1000000},
		{Name: "plain", Plain: true, Sends: 2, Attempts: 1, Limit: 1000000},
		{Name: "handover", Handover: true, Sends: 2, Attempts: 1, Limit: 1000000},
		{Name: "copies", Sends: 2, Attempts: 2, Copies: true, Dups: 1, Limit: 1000000},
		{Name: "three sends", Sends: 3, Attempts: 1, Limit: 8000000},
	} {
		t.Run(s.Name, func(t *testing.T) {
			r, seen := explore(t, s)
			t.Logf("%+v", seen)
			require.Nil(t, r.Violation, "%s", r.Violation)
		})
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
		{Name: "attempts arrive once", Sends: 1, Attempts: 2, Copies: true, Dups: 1, Refuse: 1, Expect: twice},
	} {
		t.Run(s.Name, func(t *testing.T) {
			r, _ := explore(t, s)
			require.NotNil(t, r.Violation)
			t.Log(r.Violation)
		})
	}
}

var deep = os.Getenv("ONCE_DEEP_SEARCH") != ""
