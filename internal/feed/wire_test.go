package feed_test

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/feed"
	"github.com/auburnwinch/auburnwinch/internal/roster"
)

// wireRow, wirePage, wireReply and wireArgs are the calls as nodes of other builds read and write them. net/rpc
// encodes with gob, which matches fields by name and leaves out those that it does not find.
type wireRow struct {
	Part    string
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

type wirePage struct {
	Rows    []wireRow
	Version uint64
	Whole   bool
}

type wireReply struct {
	Page   wirePage
	Number uint64
}

type wireArgs struct {
	After  uint64
	Wait   time.Duration
	Number uint64
}

func TestCallsKeepTheirWireNames(t *testing.T) {
	recode := func(from, to any) {
		var b bytes.Buffer
		require.NoError(t, gob.NewEncoder(&b).Encode(from))
		require.NoError(t, gob.NewDecoder(&b).Decode(to))
	}
	row := roster.Row{Part: "a", Key: "k", Value: []byte("v"), Version: 7, Deleted: true}
	reply := feed.WatchReply{Page: roster.Page{Rows: []roster.Row{row}, Version: 8, Whole: true}, Number: 9}
	wire := wireReply{Page: wirePage{Rows: []wireRow{
		{Part: "a", Key: "k", Value: []byte("v"), Version: 7, Deleted: true},
	}, Version: 8, Whole: true}, Number: 9}
	var sent wireReply
	recode(reply, &sent)
	require.Equal(t, wire, sent)
	var received feed.WatchReply
	recode(wire, &received)
	require.Equal(t, reply, received)

	args := feed.WatchArgs{After: 1, Wait: time.Second, Number: 2}
	var sentArgs wireArgs
	recode(args, &sentArgs)
	require.Equal(t, wireArgs{After: 1, Wait: time.Second, Number: 2}, sentArgs)
}
