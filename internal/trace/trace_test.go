package trace

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sample = `12.5 node-a {"msg":"request answered","id":"ab","node":"node-a","ts":"t1","route":"r","service":"kassa","outcome":"done","status":200,"took":"50ms","configuration":7,"members-age":"3s","tries":[{"target":"i-1","node":"node-b","result":"target-sick","took":"2ms"},{"target":"i-2","node":"node-c","result":"answered","patience":"900ms","took":"40ms"}]}
{"msg":"request relayed","id":"ab","node":"node-c","target":"i-2","outcome":"done","status":200,"waited":"5ms","ran":"30ms","load":"1/3","class":"rank=1"}
{"msg":"request relayed","id":"ab","node":"node-b","target":"i-1","outcome":"not-run","status":503,"reason":"target-sick","waited":"0s","ran":"0s","load":"0/3"}
{"msg":"request relayed","id":"ab","node":"node-d","target":"i-9","outcome":"unknown","status":503,"reason":"target-broken"}
{"msg":"request answered","id":"ab.1","node":"node-c","status":502,"outcome":"unknown","reason":"the connection to the target broke","tries":[{"target":"i-5","node":"node-e","result":"x","took":"1ms"}]}
{"msg":"request answered","id":"abc","node":"node-x"}
{"msg":"ready"}
torn {"msg":"request ans
not json

`

// Guards against attempts out of order, missing nested calls, and lines of other requests in the trace.
func TestTrace(t *testing.T) {
	lines, unreadable, err := Read(strings.NewReader(sample))
	require.NoError(t, err)
	require.Equal(t, 2, unreadable)
	s := Collect("ab", lines)
	var b strings.Builder
	require.NoError(t, s.Write(&b))
	require.Equal(t, `request ab
  asked node-b for target i-1: target-sick after 2ms
    node-b, target i-1: not-run status 503, waited 0s, ran 0s, load 0/3, class , because target-sick
  asked node-c for target i-2: answered after 40ms, ready to wait 900ms
    node-c, target i-2: done status 200, waited 5ms, ran 30ms, load 1/3, class rank=1
  node-a answered 200 (done) after 50ms at t1; route r, service kassa, configuration 7, members 3s old
  no log line of an edge lists this attempt:
    node-d, target i-9: unknown status 503, waited , ran , load , class , because target-broken
    request ab.1
      asked node-e for target i-5: x after 1ms
        no log line of the agent: it was not reached, or its log is missing
      node-c answered 502 (unknown) after  at ; route , service , configuration 0, members  old, because the connection to the target broke
`, b.String())
	unknown := Collect("zz", lines)
	require.False(t, unknown.Found())
}

// Guards against an explanation that does not tell why a request went to another failure domain.
func TestTraceTellsWhyRequestsLeft(t *testing.T) {
	const log = `{"msg":"request answered","id":"ab","node":"node-a","status":200,"tries":[{"target":"i-2","node":"node-c","result":"answered","took":"40ms","left-because":"no-room","tier":"region"}]}`
	lines, _, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	s := Collect("ab", lines)
	var b strings.Builder
	require.NoError(t, s.Write(&b))
	require.Contains(t, b.String(), "answered after 40ms, left for the tier region because of no-room\n")
}
