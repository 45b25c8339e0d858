package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// crowd is a load of one hot account and many light ones, which together stay below the capacity of the target.
type crowd struct {
	// hotPerSecond is the rate of the hot account; hotWork is the duration of its requests.
	hotPerSecond float64
	hotWork      time.Duration
	// hotRetries makes the callers of the hot account send a refused request again at once.
	hotRetries bool
	// clumped makes the light accounts send their requests all at the same moments.
	clumped bool
	// shed is the share of the requests that the target turns away although it has a slot.
	shed float64
}

const (
	crowdLight    = 20
	crowdSlots    = 5
	crowdWork     = 300 * time.Millisecond
	crowdInterval = 2 * time.Second // Between two requests of a light account; these take 0.6 of the slots.
	crowdStep     = 10 * time.Millisecond
	crowdTime     = 30 * time.Second
	crowdAim      = 1500 * time.Millisecond
	// crowdRetries is the number of callers of the hot account that retry at once.
	crowdRetries = 40
)

// crowdResult is how the accounts of a crowd were served.
type crowdResult struct {
	// served is the share of its requests that each light account had served in time, the worst first. Requests that the
	// target turned away go elsewhere and are not counted, nor are those that have not ended.
	served []float64
	// held is the share of the requests of the hot account that were refused after half of their objective.
	held float64
	// used is the share of the slots that were in use, and idle how often one was not while requests waited.
	used float64
	idle int
}

// play sends the requests of the crowd to one target.
func (c crowd) play() (result crowdResult) {
	random := rand.New(rand.NewPCG(1, 2))
	m := NewModule(Settings{Slots: crowdSlots, Places: 6 * crowdSlots, MaxWait: time.Minute, DeepQueue: true, FixedLimit: true, FairTurns: true})
	type job struct {
		account   string
		work      time.Duration
		sent, end time.Time
		shed      bool
	}
	jobs, running := map[uint64]*job{}, map[uint64]*job{}
	ended, inTime := map[string]int{}, map[string]int{}
	now, nextID := rankStart, uint64(0)
	var again []string
	note := func(cmds []Cmd) {
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case GrantCmd:
				j := jobs[cmd.ID]
				running[cmd.ID] = j
				if j.end = now.Add(j.work); random.Float64() < c.shed {
					j.end, j.shed = now, true
				}
			case RefuseCmd:
				j := jobs[cmd.ID]
				ended[j.account]++
				if j.account == "hot" && now.Sub(j.sent) > crowdAim/2 {
					result.held++
				}
				if j.account == "hot" && c.hotRetries && len(again) < crowdRetries {
					again = append(again, j.account)
				}
			}
		}
		if load := m.Load(); load.Waiting > 0 && load.InFlight < crowdSlots {
			result.idle++
		}
	}
	send := func(account string, work time.Duration) {
		nextID++
		jobs[nextID] = &job{account: account, work: work, sent: now}
		note(m.Update(AcquireMsg{Now: now, ID: nextID, Request: Request{
			Account: account, Route: fmt.Sprint(work), Rank: 1, Objective: now.Add(crowdAim), Deadline: now.Add(4 * crowdAim),
			HasPatience: true, Patience: 4 * crowdAim,
		}}))
	}
	due := 0.0
	for step := range int(crowdTime / crowdStep) {
		now = now.Add(crowdStep)
		for _, id := range sortedKeys(running) {
			if j := running[id]; !j.end.After(now) {
				delete(running, id)
				if !j.shed {
					ended[j.account]++
				}
				if !j.shed && now.Sub(j.sent) <= crowdAim {
					inTime[j.account]++
				}
				note(m.Update(ReleaseMsg{Now: now, ID: id, Result: Result{OK: !j.shed, Unsent: j.shed}}))
			}
		}
		retries := again
		again = nil
		for range retries {
			send("hot", c.hotWork)
		}
		for due += c.hotPerSecond * crowdStep.Seconds(); due >= 1; due-- {
			send("hot", c.hotWork)
		}
		for i := range crowdLight {
			offset := i * int(crowdInterval/crowdStep) / crowdLight
			if c.clumped {
				offset = 0
			}
			if (step+offset)%int(crowdInterval/crowdStep) == 0 {
				send(fmt.Sprintf("light-%d", i), crowdWork)
			}
		}
		result.used += float64(len(running)) / crowdSlots / float64(crowdTime/crowdStep)
	}
	for i := range crowdLight {
		name := fmt.Sprintf("light-%d", i)
		result.served = append(result.served, float64(inTime[name])/float64(ended[name]))
	}
	slices.Sort(result.served)
	result.held /= max(1, float64(ended["hot"]))
	return result
}

func sortedKeys[T any](m map[uint64]T) []uint64 {
	keys := make([]uint64, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Patterns: a hot account; a burst of one slow kind; targets that turn requests away; callers that retry at once; light
// accounts that all send at the same moment. Guards against a hot account that costs the others: the worst tenth of them
// must be served as without it. Guards also against slots that are kept idle for that, and against requests of the hot account
// that wait until they are late before they are refused.
func TestHotAccountCostsOthersNothing(t *testing.T) {
	for name, c := range map[string]crowd{
		"hot":         {hotPerSecond: 60, hotWork: crowdWork},
		"slow burst":  {hotPerSecond: 20, hotWork: 600 * time.Millisecond},
		"turned away": {hotPerSecond: 60, hotWork: crowdWork, shed: 0.1},
		"retried":     {hotPerSecond: 20, hotWork: crowdWork, hotRetries: true},
		"uneven":      {hotPerSecond: 60, hotWork: crowdWork, clumped: true},
	} {
		alone := c
		alone.hotPerSecond = 0
		without, with := alone.play(), c.play()
		for i := range crowdLight / 10 {
			require.GreaterOrEqual(t, with.served[i], without.served[i], "%s: served %v, without the hot account %v", name, with, without)
		}
		require.Zero(t, with.idle, name)
		require.Greater(t, with.used, 0.9, name)
		require.Less(t, with.held, 0.05, name)
	}
}

// Guards against an account that loses its precedence because it used more time, and against one that saves up turns while
// it sends nothing.
func TestRankComesBeforeTurns(t *testing.T) {
	m := newBusyModule()
	m.configure(Settings{Slots: 2, Places: 12, MaxWait: time.Minute, DeepQueue: true, FixedLimit: true, FairTurns: true})
	acquire := func(id uint64, account string, rank int) {
		msg := acquireWithPatience(id, rank, time.Minute)
		msg.Account = account
		require.Empty(t, granted(m.Update(msg)))
	}
	for id, account := range []string{"hot", "hot", "hot", "light"} {
		acquire(uint64(10+id), account, 1)
	}
	acquire(14, "hot", 0)
	var order []uint64
	for running := uint64(0); len(order) < 5; running = order[len(order)-1] {
		order = append(order, granted(m.Update(ReleaseMsg{Now: rankStart, ID: running}))...)
	}
	require.Equal(t, []uint64{14, 13, 10, 11, 12}, order)
}

// Guards against a different order for targets without client accounts: with a single account, turns change nothing.
func TestTurnsOfOneAccountChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{Slots: 2, Places: 6, MaxWait: time.Minute, DeepQueue: true, FixedLimit: true}
		plain := NewModule(s)
		s.FairTurns = true
		fair := NewModule(s)
		now, running := rankStart, []uint64{}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "messages")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			var msg Msg
			if len(running) > 0 && rapid.Bool().Draw(t, "release") {
				msg = ReleaseMsg{Now: now, ID: running[0], Result: Result{OK: true}}
				running = running[1:]
			} else {
				r := Request{Rank: rapid.IntRange(-1, 2).Draw(t, "rank"), Route: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route")}
				if rapid.Bool().Draw(t, "objective") {
					r.Objective, r.Deadline = now.Add(time.Second), now.Add(3*time.Second)
				}
				msg = AcquireMsg{Now: now, ID: id, Request: r}
			}
			want := plain.Update(msg)
			require.Equal(t, want, fair.Update(msg))
			running = append(running, granted(want)...)
		}
	})
}
